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

  Scenario: A long prompt goes where few streams run, and a short one where its part is
    Given 0 kept stores and 2 engines
    And the engine that holds a part runs 4 streams, and the other one none
    When a prompt of 30000 tokens with that part is placed
    Then it goes to the engine without streams
    When a prompt of 160 tokens with that part is placed
    Then it goes to the engine that holds the part

  Scenario Outline: A kept part is moved only where that is quicker than to wait
    Given 1 kept stores and 2 engines
    And moving the memory of a token takes <move> microseconds
    And a part of 10000 tokens is kept, and <waiting> tokens wait at the engine that holds it
    When a prompt with that part is placed
    Then it goes to the engine <engine>

    Examples:
      | move | waiting | engine             |
      | 0.5  | 700     | that holds nothing |
      | 5    | 700     | that holds it      |
      | 5    | 5000    | that holds nothing |
