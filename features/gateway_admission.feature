Feature: Routes, keys, the currency of a configuration and the budget of repeats

  Scenario Outline: The longest prefix of a host chooses the route
    Given routes "/a/" and "/a/b/" of host "one.example" and "/" of host "two.example"
    Then a request for "<host>" "<path>" goes to "<route>"

    Examples:
      | host        | path      | route |
      | one.example | /a/x      | /a/   |
      | one.example | /a/b/c/d  | /a/b/ |
      | one.example | /a/bc     | /a/   |
      | ONE.example | /a/b/     | /a/b/ |
      | one.example | /b/       | none  |
      | two.example | /a/b/c    | /     |
      | six.example | /a/       | none  |

  Scenario: Parts of a route get their weights' shares
    Given a route split 90 to 10 between "service-1" and "service-2"
    When 200 requests are split
    Then "service-1" gets 180 of them and "service-2" 20

  Scenario: The first requests of many nodes get the weights' shares too
    Given a route split 90 to 10 between "service-1" and "service-2"
    When each of 400 nodes splits 3 requests
    Then "service-2" gets between 80 and 160 of them

  Scenario: A node never goes back to an older configuration
    Given versions 3, 7, 5 and 9 are offered in this order
    Then versions 3, 7 and 9 were put in force

  Scenario: A key is served only while the configuration is proven to be the newest
    Given a configuration with the key "k1" of tenant "t1"
    And the store proved it when asked at second 100
    Then at second 104.4 the key "k1" is served as "t1"
    And at second 104.4 the key "k2" is refused with INVALID_API_KEY
    And at second 104.6 the key "k1" is refused with KEY_NOT_PROVEN
    And at second 104.6 the key "k2" is refused with KEY_NOT_PROVEN
    And at second 104.6 a public route is served

  Scenario: A proof counts from the question, and only for the version in force
    Given a configuration with the key "k1" of tenant "t1"
    And an answer of the store naming another version, asked at second 100
    Then at second 100.1 the key "k1" is refused with KEY_NOT_PROVEN

  Scenario: Before the first configuration nothing is said of a route
    Given no configuration
    Then at second 1 the key "k1" is refused with NO_CONFIGURATION

  Scenario: A tenant's priority goes before the route's, and the earlier deadline holds
    Given a configuration with the key "k1" of tenant "t1"
    And the store proved it when asked at second 100
    Then a request with the key "k1" and 3 s to wait has priority 4 and 3 s
    And a request with the key "k1" and 60 s to wait has priority 4 and 10 s

  Scenario: Repeats of all nodes stay within the budget, also when nodes restart
    Given 7 nodes share a budget of 0.2 of requests and 54 in 10 s
    When each node has 40 requests in 10 s and repeats whenever it may
    Then all repeats together are at most 110
    When one of them restarts 3 times within 10 s and repeats whenever it may
    Then all repeats together are at most 110
