Feature: A request is served from end to end

  Scenario: Requests of all workloads are served by separate node and engine processes
    Given a cluster of 3 engines and 3 nodes
    When 40 requests are sent through all nodes
    Then every request ran and got its complete and correct response

  Scenario: A node without a configuration refuses requests with code 2001
    Given an unconfigured cluster of 1 engines and 1 nodes
    When a request with a valid body is sent
    Then the response has status 503, code 2001 and execution not-run
    And no engine executed a request

  Scenario: Invalid requests get an error code and are not run
    Given a cluster of 1 engines and 1 nodes
    When a request with malformed JSON is sent
    Then the response has status 400, code 1001 and execution not-run
    When a request with an oversized body is sent
    Then the response has status 413, code 1002 and execution not-run
    When a request with a missing prompt is sent
    Then the response has status 400, code 1003 and execution not-run
    When a request with an unknown model is sent
    Then the response has status 404, code 1004 and execution not-run
    When a request with a wrong API key is sent
    Then the response has status 401, code 1005 and execution not-run
    When a request with an out-of-range deadline is sent
    Then the response has status 400, code 1006 and execution not-run
    When a request with an idempotency key that is no UUIDv7 is sent
    Then the response has status 400, code 1007 and execution not-run
    When a request with an unknown workload is sent
    Then the response has status 400, code 1010 and execution not-run
    And no engine executed a request
