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

  Scenario Outline: A part that an engine has just used is fetched from there, and later from the store
    Given 1 kept stores and 6 engines
    When one node has had a prompt read, and its engine is busy
    Then 0.2 s later the prompt goes to another engine, which fetches from the busy one
    And 3 s later the prompt goes to another engine, which fetches from the store
    When the engine that read the prompt <ceases>
    Then 0.2 s later the prompt is fetched from no engine

    Examples:
      | ceases                   |
      | has other weights        |
      | has said that it leaves  |
      | has a record that leaves |

  Scenario: Weights that were replaced some time ago are used only to spare a long wait
    Given 0 kept stores and 2 engines
    And one engine has new weights, and 2000 prompt tokens wait there
    Then 0.5 s after they were named a prompt goes to the old weights
    And 2 s after they were named a prompt goes to the new weights
    When 30000 prompt tokens wait there
    Then 2 s after they were named a prompt goes to the old weights

  Scenario: A part of few prompts is read where the queue is short, unless it is being read
    Given 1 kept stores and 20 engines
    And the beginning of a prompt is kept, and 5000 tokens wait at the engine that is to read the rest
    When the prompt is placed
    Then it goes to an engine where nothing waits
    When another node has begun to read the rest at the first engine
    And the prompt is placed
    Then it goes to the engine that reads the rest

  Scenario: A part that is saved again can be fetched all the time
    Given 1 kept stores and 6 engines
    When one node has had a prompt read, and its engine is busy
    And another prompt of the same beginning is read 2 s later
    Then 2.1 s after the first the beginning counts as kept for a third prompt

  Scenario: An engine that has only the beginning of a prompt is not fetched from
    Given 1 kept stores and 6 engines
    When one node has had a prompt read, and its engine is busy
    Then a prompt of the same beginning 0.8 s later is fetched from the store

  Scenario Outline: Small and mostly private prompts are not saved while the stores' links are short
    Given 1 kept stores and 6 engines
    And a token takes a store's link <us> us, and 40 prompts of 9000 tokens come each second for 10 s
    Then a prompt of <shared> shared and <own> own tokens is saved: <saved>

    Examples:
      | us | shared | own  | saved |
      | 1  | 6000   | 3000 | yes   |
      | 1  | 200    | 600  | yes   |
      | 6  | 6000   | 3000 | yes   |
      | 6  | 3000   | 6000 | no    |
      | 6  | 200    | 600  | no    |

  Scenario Outline: For how long engines hold what they used follows from the traffic
    Given 1 kept stores and 6 engines
    And engines that keep <capacity> tokens, and <nodes> nodes that each send 5000 tokens a second
    Then engines are taken to hold what they used for <seconds> s

    Examples:
      | capacity | nodes | seconds |
      | 20000    | 7     | 2.4     |
      | 20000    | 70    | 0.24    |
      | 900000   | 7     | 4.0     |
