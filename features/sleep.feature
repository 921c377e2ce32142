# While a machine is suspended, its monotonic clock stops; the time since boot goes on. A node that
# measured ages with the monotonic clock took all of its state for fresh after a suspension: it
# noticed no gap, did not read the store, and served requests from outdated state.
Feature: Suspension of a machine

  Background:
    Given a stand-in platform with 2 desk engines and 2 model engines

  Scenario: A node that was suspended sends no requests to engines that left meanwhile
    Given a node whose monotonic clock stops during a suspension
    And a request at "/whole/x" is waiting to connect to an engine that accepts no connections
    When the node is suspended for 3 s, and at 0.2 s all desk engines leave and 3 clients post to "/whole/x"
    Then no engine that left got a request

  Scenario: A node that was suspended does not accept a key by an outdated proof
    Given a node whose monotonic clock stops during a suspension
    When the node is suspended for 5.5 s, its key is revoked at 0.2 s, a client posts to "/whole/x" with it, and the store stops responding
    Then the answer has status 503

  Scenario Outline: An elapsed clock <where>
    Given an elapsed clock <where>
    When the monotonic clock advances by 2 s and the time since boot by <seconds> s
    Then the elapsed clock has advanced by <passed> s, <suspended> s of them in suspension

    Examples:
      | where                                   | seconds | passed | suspended |
      | on a system that counts suspension      | 8       | 8      | 6         |
      | on a system that does not               | 8       | 2      | 0         |
      | on a system whose clock goes back       | -3      | 0      | 0         |

  Scenario: After its source goes back, an elapsed clock follows the monotonic clock
    Given an elapsed clock on a system whose clock goes back
    When the monotonic clock advances by 2 s and the time since boot by -3 s
    And the monotonic clock advances by 4 s and the time since boot by 40 s
    Then the elapsed clock has advanced by 4 s, 0 s of them in suspension
