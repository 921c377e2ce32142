# A caller came back every second or so with one request, under a new id and at another node each
# time, and each node sent it to an engine, which ended under it 50 to 90 ms later with all that ran
# there. No node knew the request again: what was remembered of an end was that an engine was lost,
# never under what. Ten engines ended in 14 s, and 71 attempts with them, in a fleet of nine: in each
# end one attempt had passed on no event yet ("attempts 1, last_event null, 86 ms, ENGINE_LOST"),
# whichever node it came from, and the eleven others lost with it had.
Feature: Requests under which engines end

  Background:
    Given 3 nodes before 6 model engines that end when they begin a certain request

  Scenario: A request under which engines end is sent to no more than three of them
    When it comes again at each node in turn for 6 s, beside other streams
    Then no more than 3 engines have ended
    And it was refused at once, with a true time to come back
    And no other request was refused for it

  Scenario: A request that nodes may send again is sent to no more than three engines either
    When it comes again at each node in turn as a resumable stream for 6 s, beside other streams
    Then no more than 3 engines have ended
    And no other request was refused for it

  Scenario: Neither do engines of whole answers end under it one after the other
    Given desk engines that end when they begin the request
    When it comes again at each node in turn as an idempotent call for 5 s, beside other streams
    Then no more than 3 engines have ended
    And no other request was refused for it

  Scenario Outline: Every node knows a request under which engines end, also <which>
    When it comes again at each node in turn for 2 s, beside other streams
    And <what>
    Then each node refuses it, and no further engine ends

    Examples:
      | which                                      | what                                                |
      | one that starts later                      | another node starts                                 |
      | after all were killed at once              | all nodes are killed and start again                |
      | one that was killed and starts again       | a node is killed and starts again                   |
      | one that starts again without the store    | the store refuses a node that is killed and starts again |

  Scenario: A node that stood still while engines ended under a request knows it when it wakes
    When a node stands still while the request comes again at the others for 2 s
    Then each node refuses it, and no further engine ends

  Scenario: What the store could not take is in it once it is back, for nodes that start then
    When the store is down while the request comes again at each node in turn for 2 s
    And the store is back, and all nodes are killed and start again once it has the record
    Then each node refuses it, and no further engine ends

  Scenario: An operator sees a request that is kept from engines, and lets it go
    When it comes again at each node in turn for 2 s, beside other streams
    Then the command lists it, with its route, its tenant and the engines that ended under it
    When the command releases it
    Then the next send of it reaches an engine

  Scenario Outline: The command says what is wrong with <what>
    Then the command given "<arguments>" fails and says "<says>"

    Examples:
      | what                       | arguments                                        | says                    |
      | an address                 | show nowhere                                     | no address              |
      | a store that is not there  | show 127.0.0.1:1                                 | ClientConnectorError    |
      | a fingerprint              | release STORE abc                                | no fingerprint          |
      | a request that is not kept | release STORE 00000000000000000000000000000000   | kept from engines       |

  Scenario: Nobody is refused where engines end without any request's doing
    Given engines that end under no request
    When every 0.7 s a third of the engines ends for 8 s, and each caller repeats what failed
    Then no request was kept from engines
