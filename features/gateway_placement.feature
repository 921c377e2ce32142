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

  Scenario: Prompts that begin alike are first read at one engine
    Given 1 kept stores and 6 engines
    When 12 prompts with one beginning and different continuations are placed on two nodes
    Then all go to one engine
    When the beginning has been read and kept
    And 12 prompts with one beginning and different continuations are placed on two nodes
    Then they go to at least 3 engines
    And each node sends a continuation to the same engine

  Scenario: What another node has kept of a prompt is not read again
    Given 1 kept stores and 6 engines
    When one node has had a prompt read, and the other one hears of it
    Then the other node has both shared parts fetched, and saves nothing

  Scenario: A request waits a little behind the reading of a part that it shares
    Given 1 kept stores and 6 engines
    When one node sends a prompt on, and another of the same beginning comes 0.05 s later
    Then the later one waits
    When the part has been read
    Then the later one is sent, with the beginning fetched
    When the reading takes too long instead
    Then the later one is sent to the engine that reads it

  Scenario: A part that an engine has just used is fetched from there, and later from the store
    Given 1 kept stores and 6 engines
    When one node has had a prompt read, and its engine is busy
    Then 0.2 s later the prompt goes to another engine, which fetches from the busy one
    And 3 s later the prompt goes to another engine, which fetches from the store
    When the engine that read the prompt has other weights
    Then 0.2 s later the prompt is fetched from no engine

  Scenario: Weights that were replaced some time ago are used only to spare a long wait
    Given 0 kept stores and 2 engines
    And one engine has new weights, and 2000 prompt tokens wait there
    Then 0.5 s after they were named a prompt goes to the old weights
    And 2 s after they were named a prompt goes to the new weights
    When 30000 prompt tokens wait there
    Then 2 s after they were named a prompt goes to the old weights
