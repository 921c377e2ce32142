# A machine may be suspended for seconds: its steady clock stands meanwhile, and the time since the
# start of the machine goes on. Every age of what a node believes was taken from the steady clock,
# so that a node that had slept took all of it for fresh: it noticed no gap between its beats, asked
# the store nothing, and served by what it had known before.
Feature: Time that a machine slept through

  Background:
    Given a stand-in platform with 2 desk engines and 2 model engines

  Scenario: A node that slept sends nothing to engines that left meanwhile
    Given a node whose steady clock stands while it sleeps
    And a request at "/whole/x" is on its way to an engine that takes no connections
    When the node sleeps for 3 s, and at 0.2 s all desk engines leave and 3 clients post to "/whole/x"
    Then no engine that left got a request

  Scenario: A node that slept does not serve a key by an old proof
    Given a node whose steady clock stands while it sleeps
    When the node sleeps for 5.5 s, its key is taken away at 0.2 s, a client posts to "/whole/x" with it, and the store says nothing more
    Then the answer has status 503

  Scenario Outline: The clock goes on <where>
    Given a clock <where>
    When the steady clock goes on by 2 s and the other by <seconds> s
    Then <passed> s have passed, and <slept> s of them asleep

    Examples:
      | where                                   | seconds | passed | slept |
      | on a system that counts suspension      | 8       | 8      | 6     |
      | on a system that does not               | 8       | 2      | 0     |
      | on a system whose count goes back       | -3      | 0      | 0     |

  Scenario: After its count went back a clock goes on with the steady one
    Given a clock on a system whose count goes back
    When the steady clock goes on by 2 s and the other by -3 s
    And the steady clock goes on by 4 s and the other by 40 s
    Then 4 s have passed, and 0 s of them asleep
