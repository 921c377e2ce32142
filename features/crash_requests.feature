# Guards against nodes that do not recognize a request that crashes engines. A caller repeated such a
# request about every second, under a new id and at another node, and it crashed an engine 50 to 90 ms
# after each send, with all requests that ran there. In a fleet of nine, ten engines crashed in 14 s and
# 71 attempts were lost. In each crash only the attempt of that request had forwarded no event yet.
Feature: Requests that crash engines

  Background:
    Given 3 nodes and 6 model engines that crash when they begin a certain request

  Scenario: A request that crashes engines is sent to no more than three of them
    When it is repeated at each node in turn for 6 s, beside other streams
    Then no more than 3 engines have crashed
    And it was refused at once, with a consistent time to retry
    And no other request was quarantined

  Scenario: A request that nodes may retry is sent to no more than three engines
    When it is repeated at each node in turn as a resumable stream for 6 s, beside other streams
    Then no more than 3 engines have crashed
    And no other request was quarantined

  Scenario: Engines that send whole answers are protected as well
    Given desk engines that crash when they begin the request
    When it is repeated at each node in turn as an idempotent call for 5 s, beside other streams
    Then no more than 3 engines have crashed
    And no other request was quarantined

  Scenario Outline: Every node recognizes a request that crashes engines: <which>
    When it is repeated at each node in turn for 2 s, beside other streams
    And <event>
    Then each node refuses it, and no further engine crashes

    Examples:
      | which                               | event                                                |
      | one that starts later               | another node starts                                  |
      | after all were killed at once       | all nodes are killed and restart                     |
      | one that was killed and restarts    | a node is killed and restarts                        |
      | one that restarts without the store | the store refuses a node that is killed and restarts |

  Scenario: A node that was suspended while a request crashed engines recognizes it when it resumes
    When a node is suspended while the request is repeated at the others for 2 s
    Then each node refuses it, and no further engine crashes

  Scenario: A quarantine during a store outage is written after it, for nodes that restart then
    When the store is down while the request is repeated at each node in turn for 2 s
    And the store is back, and all nodes are killed and restart once it has the record
    Then each node refuses it, and no further engine crashes

  Scenario: An operator lists a quarantined request and releases it
    When it is repeated at each node in turn for 2 s, beside other streams
    Then the command lists it, with its route, its tenant and the engines that it crashed
    When the command releases it
    Then the next send of it reaches an engine

  Scenario Outline: The command reports an error for <what>
    Then the command given "<arguments>" fails and says "<says>"

    Examples:
      | what                      | arguments                                      | says                        |
      | an address                | show nowhere                                   | 'nowhere' is not an address |
      | a store that is not there | show 127.0.0.1:1                               | ClientConnectorError        |
      | a fingerprint             | release STORE abc                              | 'abc' is not a fingerprint  |
      | a request not quarantined | release STORE 00000000000000000000000000000000 | is not in quarantine        |

  Scenario: No request is quarantined when engines crash without a request as the cause
    Given engines that crash under no request
    When every 0.7 s a third of the engines crashes for 8 s, and each caller repeats failed requests
    Then no request was quarantined
