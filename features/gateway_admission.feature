Feature: Routes, API keys, configuration freshness and the retry allowance

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

  Scenario: A route's backends get requests in proportion to their weights
    Given a route split 90 to 10 between "service-1" and "service-2"
    When 200 requests are split
    Then "service-1" gets 180 of them and "service-2" 20

  Scenario: The first requests of many nodes are split by the weights too
    Given a route split 90 to 10 between "service-1" and "service-2"
    When each of 400 nodes splits 3 requests
    Then "service-2" gets between 80 and 160 of them

  Scenario: A node never adopts an older configuration
    Given versions 3, 7, 5 and 9 are offered in this order
    Then versions 3, 7 and 9 were adopted

  Scenario: A key is accepted only while the configuration is proven to be the newest
    Given a configuration with the key "k1" of tenant "t1"
    And a store read sent at second 100 proved it to be the newest
    Then at second 104.4 the key "k1" is accepted for tenant "t1"
    And at second 104.4 the key "k2" is refused with INVALID_API_KEY
    And at second 104.6 the key "k1" is refused with KEY_NOT_PROVEN
    And at second 104.6 the key "k2" is refused with KEY_NOT_PROVEN
    And at second 104.6 a public route is served

  Scenario: A proof counts from the time its read was sent, and only for the version in force
    Given a configuration with the key "k1" of tenant "t1"
    And a store read sent at second 100 that returned another version
    Then at second 100.1 the key "k1" is refused with KEY_NOT_PROVEN

  Scenario: Without a configuration requests are refused with NO_CONFIGURATION
    Given no configuration
    Then at second 1 the key "k1" is refused with NO_CONFIGURATION

  Scenario: A tenant's priority overrides the route's, and the earlier deadline applies
    Given a configuration with the key "k1" of tenant "t1"
    And a store read sent at second 100 proved it to be the newest
    Then a request with the key "k1" and a timeout of 3 s has priority 4 and a deadline in 3 s
    And a request with the key "k1" and a timeout of 60 s has priority 4 and a deadline in 10 s

  Scenario: Retries of all nodes stay within the allowance, also when nodes restart
    Given 7 nodes share a retry allowance of 0.2 of requests plus 54 in 10 s
    When each node gets 40 requests in 10 s and retries whenever it may
    Then all nodes together made at most 110 retries
    When one of them restarts 3 times within 10 s and retries whenever it may
    Then all nodes together made at most 110 retries
