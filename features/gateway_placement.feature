Feature: Where the shared parts of prompts are kept

  Scenario: Shared parts are spread over all kept stores, alike on every node
    Given 3 kept stores and 4 engines
    When prompts with 90 shared parts are placed on two nodes
    Then both nodes fetch each part from the same store, and save it there
    And each store has at least 15 of them

  Scenario: With one store all parts are kept there, and without any none is
    Given 1 kept stores and 4 engines
    When prompts with 10 shared parts are placed on two nodes
    Then both nodes fetch each part from the same store, and save it there
    Given 0 kept stores and 4 engines
    When prompts with 10 shared parts are placed on two nodes
    Then nothing is fetched or saved
