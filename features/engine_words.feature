Feature: What engines say of themselves in their answers

  Engines that had said in their answers that they leave got requests for up to 11.5 s more, while
  the store was away and their records said nothing of it: the nodes had each answer as "served",
  and wrote "leaving: true" when the record came, "news_age_s: 14.2". Engines that had asked for 3 s
  of rest got requests twice a second from each node, as after any refusal: each was left alone for
  0.15 s. No header of an answer was read but those that tell whether the request ran; and
  what a node did know of an engine lay in the view of its record, and went with the record.

  # Where it is said

  Scenario Outline: An engine's word is heard in whatever answer it stands
    Given an engine that says that it leaves in the <answer> alone
    When a node sends it what brings that answer
    Then the node has heard that it leaves

    Examples:
      | answer          |
      | whole answer    |
      | head of a stream |
      | refusal         |
      | report          |
      | answer to an order |

  # What is remembered

  Scenario Outline: What an engine said holds, whatever becomes of its record
    Given a node that knows engines a and b with the weights of version 1
    When a says in an answer that it leaves
    And <news>
    Then b alone is in use
    And no run goes on at a, nor is a copy kept there

    Examples:
      | news                                            |
      | its record is written again                     |
      | its record goes and comes back                  |
      | its record goes while the store is away and back |
      | its record is spoiled and good again            |
      | its record comes back with an older revision    |
      | a reader's copy is taken over whole             |

  Scenario: The weights that an engine was seen to have hold when an older record of it comes back
    Given a node that knows engines a and b with the weights of version 1
    When a is seen to have version 2 of the weights
    And its record goes and comes back
    Then a is asked for version 2 of the weights

  Scenario: An engine that starts again under its id is free of its former word
    Given a node that knows engines a and b with the weights of version 1
    And both tell when they started
    When a says in an answer that it leaves
    And the entry of a is written again with born = 1700000009000
    Then a and b are in use
    When the former a says in a late answer that it leaves
    Then a and b are in use

  Scenario: Where engines do not tell their start, one at another address is another one
    Given a node that knows engines a and b with the weights of version 1
    When a says in an answer that it leaves
    And the entry of a is written again with Address = "10.0.0.2:9000"
    Then a and b are in use

  Scenario: The word of another engine at the address is its own
    Given a node that knows engines a and b with the weights of version 1
    When another engine at the address of a says that it leaves
    Then a and b are in use

  Scenario: What a peer tells of an engine without a record holds once it has one
    Given a node that knows engines a and b with the weights of version 1
    When the record of a goes, a peer tells that it leaves, and the record is back
    Then b alone is in use

  Scenario Outline: A node that joins is told what it can't read in the store
    Given a node that knows that a leaves, uses no record of b, and saw version 2 of the weights at c
    When a node that has <read>
    Then it uses c alone, with version 2 of the weights
    And b too once its record is written again

    Examples:
      | read                                                        |
      | read older records joins, and is told                       |
      | read nothing joins, is told, and reads older records then   |

  Scenario: What is remembered is bounded
    Given a node that knows engines a and b with the weights of version 1
    When 5000 other engines say that they leave, and a says so
    Then 4096 are remembered
    And b alone is in use
    When 700 s go by
    Then the word of a alone is remembered

  # Rest

  Scenario Outline: A rest lasts until the latest end that the engine asked for
    Given a node that knows engines a and b with the weights of version 1
    When a asks for 3 s of rest, <news>
    Then b alone is in use for 2.9 s, and a and b after 3.1 s

    Examples:
      | news                                      |
      | and for 1 s a second later                |
      | and its record goes and comes back        |
      | and is said to have loaded its weights    |
      | and is seen to have newer weights         |
      | and an answer comes to what it had before |

  Scenario: After its rest an engine gets one request at a time until it has answered one
    Given a node that knows engines a and b with the weights of version 1
    When a asks for 3 s of rest, and gets a request after 3.1 s
    Then b alone is in use after 3.2 s, and a and b after 3.4 s
    When it has answered a request that was sent after 3.4 s
    Then a and b are in use after 3.5 s, whatever it gets

  Scenario: A rest that ends at all nodes at once ends with one request from each
    Given 7 nodes that an engine asked for rest at the same moment
    When 20 requests wait at each of them until the rest is over
    Then the engine gets 7 requests in the first 0.2 s after it

  Scenario: A request waits for a rest that is soon over, and not for another
    Given a node that knows engines a and b with the weights of version 1
    When a asks for 3 s of rest, and b for 2.5 s of rest
    Then a request is refused after 1 s, with 1.5 s until the first rest is over
    And a request waits after 2.4 s

  Scenario: A request that waited for engines which do not rest is not told that they do
    Given a node that knows engines a and b with the weights of version 1
    When both are said to load weights for 9 s
    Then a request that has waited for 1 s finds none ready

  Scenario: Orders wait for a rest, but not for a long one
    Given a node that knows engines a and b with the weights of version 1
    When version 2 of the weights is named, and a asks for 3 s of rest, and b for 60 s of rest
    Then both are ordered to load, a after 3 s and b after 5 s

  Scenario: An engine that leaves is not ordered to load, nor one that says so before its order
    Given a node that knows engines a and b with the weights of version 1
    When the rollout hears of version 2 of the weights
    And a says that it leaves before its load is announced, and b after it
    Then neither is ordered to load, nor asked whether it has

  Scenario Outline: What is no word of leaving changes nothing
    Given an engine whose answers have <headers>
    Then it is not said to leave, and wants <rest> s of rest

    Examples:
      | headers                                  | rest |
      | Server-Leaving: 0                        | 0    |
      | Server-Leaving: yes                      | 0    |
      | 200, Retry-After: 3                      | 0    |
      | 503, Retry-After: -1                     | 0    |
      | 503, Retry-After: 0                      | 0    |
      | 503, Retry-After: 1e9                    | 0    |
      | 503, Retry-After: 3 s                    | 0    |
      | 503, Retry-After: Wed, 21 Oct 2026 07:28 | 0    |
      | 503, Retry-After: 0.25                   | 0.25 |
      | 503, Retry-After: 3, Retry-After: 1      | 3    |

  # Between the choice and the first byte

  Scenario Outline: A request that waits for its connection is not sent once its engine wants nothing
    Given an engine whose connections take 0.2 s to come up
    And a node that has chosen it for a request that may not be repeated
    When <word> while the connection comes up
    Then the engine gets nothing, and the request is sent to another engine

    Examples:
      | word                   |
      | it says that it leaves |
      | it asks for rest       |
      | its record is removed  |

  Scenario: A request whose node sleeps while its connection comes up waits for the store's word
    Given an engine whose connections take 0.2 s to come up
    And a node that has chosen it for a request that may not be repeated
    When the node wakes while the connection comes up, and hears from the store 0.3 s later
    Then the request is sent after that

  # Nodes as separate processes

  Scenario: An engine that says in its answers that it leaves gets nothing more, whatever its record says
    Given a stand-in platform with 4 desk engines and 4 model engines
    And 3 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When an engine of each kind says in all its answers that it leaves, its record stays ready, goes for 1 s and is back
    And these callers go on for 4 s
    Then no request reached such an engine later than 0.3 s after its first such answer
    And all of these callers were served

  Scenario: A node that starts again hears from the others which engines have said that they leave
    Given a stand-in platform with 4 desk engines and 4 model engines
    And 3 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When an engine of each kind says in all its answers that it leaves, its record stays ready, goes for 0.5 s and is back
    And the last node is killed and starts again under these callers
    And these callers go on for 4 s
    Then no request reached such an engine later than 0.3 s after its first such answer

  Scenario: An engine that asks for rest gets nothing from that node until its end
    Given a stand-in platform with 4 desk engines and 4 model engines
    And 3 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When an engine of each kind turns all away and asks for 2 s of rest
    And these callers go on for 5 s
    Then no node sent such an engine anything from 0.3 s after such an answer until its rest was over
    And at most 0.02 of these callers were refused

  Scenario: Callers are refused at once, and told when, while all engines rest
    Given a stand-in platform with 4 desk engines and 4 model engines
    And 3 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When all engines turn all away and ask for 3 s of rest
    And these callers go on for 2.5 s
    Then those who called after the first 0.5 s were refused within 0.1 s, and told to come back after the rest
