# While a machine is suspended, its monotonic clock stops; the time since boot goes on. A node that
# measured ages with the monotonic clock took all of its state for fresh after a suspension: it
# noticed no gap, did not read the store, and served requests from outdated state.
Feature: Suspension of a machine

  Background:
    Given a stand-in platform with 2 desk engines and 2 model engines

  Scenario: A node that slept sends no requests to engines that left meanwhile
    Given a node whose monotonic clock stops while it sleeps
    And a request at "/whole/x" is waiting to connect to an engine that accepts no connections
    When the node sleeps for 3 s, and at 0.2 s all desk engines leave and 3 clients post to "/whole/x"
    Then no engine that left got a request

  Scenario: A node that slept does not accept a key by an outdated proof
    Given a node whose monotonic clock stops while it sleeps
    When the node sleeps for 5.5 s, its key is revoked at 0.2 s, a client posts to "/whole/x" with it, and the store stops responding
    Then the answer has status 503

  Scenario Outline: The clock <where>
    Given a clock <where>
    When the steady clock goes on by 2 s and the other by <seconds> s
    Then <passed> s have passed, and <slept> s of them asleep

    Examples:
      | where                                   | seconds | passed | slept |
      | on a system that counts suspension      | 8       | 8      | 6     |
      | on a system that does not               | 8       | 2      | 0     |
      | on a system whose count goes back       | -3      | 0      | 0     |

  Scenario: After a step backwards of its source the clock follows the monotonic one
    Given a clock on a system whose count goes back
    When the steady clock goes on by 2 s and the other by -3 s
    And the steady clock goes on by 4 s and the other by 40 s
    Then 4 s have passed, and 0 s of them asleep
