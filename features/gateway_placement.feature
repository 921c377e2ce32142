Feature: Placement of prompts by their shared parts, and where these are saved

  Scenario: Shared parts are spread over all prefix stores, in the same way on every node
    Given 3 prefix stores and 4 engines
    When prompts with 90 shared parts are placed on two nodes
    Then both nodes fetch each part from the same store, and save it there
    And each store has at least 15 of them

  Scenario: With one store all parts are saved there, and without a store none is saved
    Given 1 prefix stores and 4 engines
    When prompts with 10 shared parts are placed on two nodes
    Then both nodes fetch each part from the same store, and save it there
    Given 0 prefix stores and 4 engines
    When prompts with 10 shared parts are placed on two nodes
    Then nothing is fetched or saved

  Scenario: A long prompt goes to an engine with few streams, and a short one to the engine that holds its part
    Given 0 prefix stores and 2 engines
    And the engine that holds a part runs 4 streams, and the other one none
    When a prompt of 30000 tokens with that part is placed
    Then it goes to the engine without streams
    When a prompt of 160 tokens with that part is placed
    Then it goes to the engine that holds the part

  Scenario Outline: A saved part is fetched from the store only where that is faster than waiting
    Given 1 prefix stores and 2 engines
    And transferring the memory of a token takes <move> microseconds
    And a part of 10000 tokens is saved, and <waiting> tokens wait at the engine that holds it
    When a prompt with that part is placed
    Then it goes to the engine <engine>

    Examples:
      | move | waiting | engine             |
      | 0.5  | 700     | that holds nothing |
      | 5    | 700     | that holds it      |
      | 5    | 5000    | that holds nothing |

  Scenario: Prompts with a common beginning are first read at one engine
    Given 1 prefix stores and 6 engines
    When 12 prompts with one beginning and different continuations are placed on two nodes
    Then all go to one engine
    When the beginning has been read and saved
    And 12 prompts with one beginning and different continuations are placed on two nodes
    Then they go to at least 3 engines
    And each node sends a continuation to the same engine

  Scenario: The parts of a prompt that another node saved are not read again
    Given 1 prefix stores and 6 engines
    When one node has had a prompt read, and reports it to the other one
    Then the other node has both shared parts fetched, and saves nothing

  Scenario: A request waits a short time while a part that it shares is read
    Given 1 prefix stores and 6 engines
    When one node sends a prompt, and another with the same beginning arrives 0.05 s later
    Then the later one waits
    When the part has been read
    Then the later one is sent, with the beginning fetched
    When reading the part takes too long instead
    Then the later one is sent to the engine that reads it

  Scenario Outline: A part that an engine has just used is fetched from that engine, and later from the store
    Given 1 prefix stores and 6 engines
    When one node has had a prompt read, and its engine is busy
    Then 0.2 s later the prompt goes to another engine, which fetches from the busy one
    And 3 s later the prompt goes to another engine, which fetches from the store
    When the engine that read the prompt <change>
    Then 0.2 s later the prompt is fetched from no engine

    Examples:
      | change                   |
      | has other weights        |
      | has said that it leaves  |
      | has a record that leaves |

  Scenario: Some time after a newer version is published, old weights are used only to avoid a long wait
    Given 0 prefix stores and 2 engines
    And one engine has new weights, and 2000 prompt tokens wait there
    Then 0.5 s after the new weights were published a prompt goes to the old weights
    And 2 s after the new weights were published a prompt goes to the new weights
    When 30000 prompt tokens wait there
    Then 2 s after the new weights were published a prompt goes to the old weights

  Scenario: A part of few prompts is read at an engine with a short queue, unless it is being read elsewhere
    Given 1 prefix stores and 20 engines
    And the beginning of a prompt is saved, and 5000 tokens wait at the engine that is to read the rest
    When the prompt is placed
    Then it goes to an engine where nothing waits
    When another node has begun to read the rest at the first engine
    And the prompt is placed
    Then it goes to the engine that reads the rest

  Scenario: A part that is saved again can be fetched without interruption
    Given 1 prefix stores and 6 engines
    When one node has had a prompt read, and its engine is busy
    And another prompt with the same beginning is read 2 s later
    Then 2.1 s after the first the beginning counts as saved for a third prompt

  Scenario: A prompt is not fetched from an engine that has only its beginning
    Given 1 prefix stores and 6 engines
    When one node has had a prompt read, and its engine is busy
    Then a prompt with the same beginning 0.8 s later is fetched from the store

  Scenario Outline: Small and mostly private prompts are not saved while the stores' bandwidth is scarce
    Given 1 prefix stores and 6 engines
    And a token takes <us> us on a store's link, and 40 prompts of 9000 tokens arrive each second for 10 s
    Then a prompt of <shared> shared and <own> own tokens is saved: <saved>

    Examples:
      | us | shared | own  | saved |
      | 1  | 6000   | 3000 | yes   |
      | 1  | 200    | 600  | yes   |
      | 6  | 6000   | 3000 | yes   |
      | 6  | 3000   | 6000 | no    |
      | 6  | 200    | 600  | no    |

  Scenario Outline: The time for which engines hold parts is estimated from the traffic
    Given 1 prefix stores and 6 engines
    And engines with memory for <capacity> tokens, and <nodes> nodes that each send 5000 tokens a second
    Then engines are estimated to hold a part for <seconds> s

    Examples:
      | capacity | nodes | seconds |
      | 20000    | 7     | 2.4     |
      | 20000    | 70    | 0.24    |
      | 900000   | 7     | 4.0     |
