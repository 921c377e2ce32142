Feature: Signals in the answers of engines

  Guards against nodes that ignore what an engine announces in its answers, or lose it with the
  engine's record. During a store outage, engines that had announced in answers that they were
  leaving got requests for up to 11.5 s more. Engines that had asked for a backoff of 3 s got two
  requests a second from each node, because any refusal paused sends for 0.15 s only.

  # Kinds of answers

  Scenario Outline: A signal is read from every kind of answer
    Given an engine that announces that it is leaving in the <answer> alone
    When a node sends it a call that gets this answer
    Then the node has read that it is leaving

    Examples:
      | answer          |
      | whole answer    |
      | head of a stream |
      | refusal         |
      | report          |
      | answer to an order |

  # Remembered state

  Scenario Outline: An engine that is leaving stays so whatever happens to its record
    Given a node that knows engines a and b with the weights of version 1
    When a announces in an answer that it is leaving
    And <change>
    Then b alone is in use
    And a is neither resumed at nor chosen as a backup

    Examples:
      | change                                                         |
      | its record is written again                                    |
      | its record is removed and written again                        |
      | its record is removed during a store outage and written again  |
      | its record becomes invalid and valid again                     |
      | its record is removed and written again with an older revision |
      | the snapshot of a store reader is applied                      |

  Scenario: The weights version observed at an engine outlives an older record
    Given a node that knows engines a and b with the weights of version 1
    When a is observed to have version 2 of the weights
    And its record is removed and written again
    Then a is asked for version 2 of the weights

  Scenario: An engine that restarts under its id is not leaving any more
    Given a node that knows engines a and b with the weights of version 1
    And both record their start time
    When a announces in an answer that it is leaving
    And the record of a is written again with born = 1700000009000
    Then a and b are in use
    When the previous incarnation of a announces in a late answer that it is leaving
    Then a and b are in use

  Scenario: Without start times, an engine at a new address is a new engine
    Given a node that knows engines a and b with the weights of version 1
    When a announces in an answer that it is leaving
    And the record of a is written again with Address = "10.0.0.2:9000"
    Then a and b are in use

  Scenario: A signal of another engine at the same address does not apply to this one
    Given a node that knows engines a and b with the weights of version 1
    When another engine at the address of a announces that it is leaving
    Then a and b are in use

  Scenario: A signal that a peer passes on for an engine without a record applies once it has one
    Given a node that knows engines a and b with the weights of version 1
    When the record of a is removed, a peer reports that a is leaving, and the record is written again
    Then b alone is in use

  Scenario Outline: A node that joins receives the engine state that the store does not hold
    Given a node that knows that a is leaving, uses no record of b, and observed weights version 2 at c
    When a node that <read>
    Then it uses c alone, with version 2 of the weights
    And b too once its record is written again

    Examples:
      | read                                                                     |
      | has read older records joins and gets this state                         |
      | has read no records joins, gets this state, and then reads older records |

  Scenario: The number of remembered signals is bounded
    Given a node that knows engines a and b with the weights of version 1
    When 5000 other engines announce that they are leaving, and so does a
    Then 4096 are remembered
    And b alone is in use
    When 700 s go by
    Then the signal of a alone is remembered

  # Backoff

  Scenario Outline: A backoff lasts until the latest end that the engine asked for
    Given a node that knows engines a and b with the weights of version 1
    When a asks for 3 s of backoff, <event>
    Then b alone is in use for 2.9 s, and a and b after 3.1 s

    Examples:
      | event                                       |
      | and for 1 s a second later                  |
      | and its record is removed and written again |
      | and is reported to have loaded its weights  |
      | and is observed to have newer weights       |
      | and answers a request sent before           |

  Scenario: After its backoff an engine gets one request at a time until it has answered one
    Given a node that knows engines a and b with the weights of version 1
    When a asks for 3 s of backoff, and gets a request after 3.1 s
    Then b alone is in use after 3.2 s, and a and b after 3.4 s
    When it has answered a request that was sent after 3.4 s
    Then a and b are in use after 3.5 s, whatever it gets

  Scenario: A backoff that ends at all nodes at once is followed by one request from each
    Given 7 nodes that an engine asked for a backoff at the same moment
    When 20 requests wait at each of them until the backoff ends
    Then the engine gets 7 requests in the first 0.2 s after it

  Scenario: A request waits for a backoff that ends soon, and for no other
    Given a node that knows engines a and b with the weights of version 1
    When a asks for 3 s of backoff, and b for 2.5 s of backoff
    Then a request is refused after 1 s, with 1.5 s until the first backoff ends
    And a request waits after 2.4 s

  Scenario: A request that waited for engines that load weights is not refused for a backoff
    Given a node that knows engines a and b with the weights of version 1
    When both are reported to load weights for 9 s
    Then a request that has waited for 1 s finds none ready

  Scenario: Orders wait for a short backoff, but not for a long one
    Given a node that knows engines a and b with the weights of version 1
    When version 2 of the weights becomes the target, and a asks for 3 s of backoff, and b for 60 s of backoff
    Then both are ordered to load, a after 3 s and b after 5 s

  Scenario: An engine that is leaving gets no order to load, even if it says so just before the order
    Given a node that knows engines a and b with the weights of version 1
    When the rollout learns of version 2 of the weights
    And a announces that it is leaving before its load is announced, and b after it
    Then neither is ordered to load or asked for its version

  Scenario Outline: Headers that carry no valid signal change nothing
    Given an engine whose answers have <headers>
    Then it is not taken for leaving, and asks for <backoff> s of backoff

    Examples:
      | headers                                  | backoff |
      | Server-Leaving: 0                        | 0       |
      | Server-Leaving: yes                      | 0       |
      | 200, Retry-After: 3                      | 0       |
      | 503, Retry-After: -1                     | 0       |
      | 503, Retry-After: 0                      | 0       |
      | 503, Retry-After: 1e9                    | 0       |
      | 503, Retry-After: 3 s                    | 0       |
      | 503, Retry-After: Wed, 21 Oct 2026 07:28 | 0       |
      | 503, Retry-After: 0.25                   | 0.25    |
      | 503, Retry-After: 3, Retry-After: 1      | 3       |

  # Between the choice of an engine and the first byte sent

  Scenario Outline: A request that waits for its connection is not sent if its engine becomes unavailable
    Given an engine whose connections take 0.2 s to come up
    And a node that has chosen it for a request that may not be repeated
    When <event> while the connection comes up
    Then the engine gets nothing, and the request is sent to another engine

    Examples:
      | event                           |
      | it announces that it is leaving |
      | it asks for a backoff           |
      | its record is removed           |

  Scenario: A request whose node was suspended while its connection came up waits for the store
    Given an engine whose connections take 0.2 s to come up
    And a node that has chosen it for a request that may not be repeated
    When the node resumes while the connection comes up, and has the store's state 0.3 s later
    Then the request is sent after that

  # Nodes as separate processes

  Scenario: An engine that announces that it is leaving gets nothing more, whatever its record says
    Given a stand-in platform with 4 desk engines and 4 model engines
    And 3 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When an engine of each kind announces in all its answers that it is leaving, its record stays ready, is removed for 1 s and written again
    And these callers go on for 4 s
    Then no request reached such an engine later than 0.3 s after its first such answer
    And all of these callers were served

  Scenario: A node that restarts learns from its peers which engines are leaving
    Given a stand-in platform with 4 desk engines and 4 model engines
    And 3 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When an engine of each kind announces in all its answers that it is leaving, its record stays ready, is removed for 0.5 s and written again
    And the last node is killed and restarts while these callers go on
    And these callers go on for 4 s
    Then no request reached such an engine later than 0.3 s after its first such answer

  Scenario: An engine that asks for a backoff gets nothing from that node until its end
    Given a stand-in platform with 4 desk engines and 4 model engines
    And 3 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When an engine of each kind refuses all requests and asks for 2 s of backoff
    And these callers go on for 5 s
    Then no node sent such an engine anything from 0.3 s after such an answer until its backoff ended
    And at most 0.02 of these callers were refused

  Scenario: Callers are refused at once, with the time to retry, while all engines back off
    Given a stand-in platform with 4 desk engines and 4 model engines
    And 3 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When all engines refuse all requests and ask for 3 s of backoff
    And these callers go on for 2.5 s
    Then those who called after the first 0.5 s were refused within 0.1 s, and told to retry after the backoff

  # Headers that no code reads

  Scenario: An announcement that no code reads goes unnoticed
    Given a stand-in platform with 1 desk engines and 0 model engines
    And a node
    When its engine announces a mood and a color in all answers, and 20 requests are served
    Then the node has logged each of the two names once, and counts 2

  Scenario: Unread headers are told apart without bound
    Given headers of 1000 names of the families x- and y-, and of 10 other names
    When they come twice
    Then 64 names are reported, each once, and none that is read
