Feature: Slow, disconnected and rate-limited callers, and callers of a draining node

  Scenario: The attempt of a caller that disconnects is cancelled at the engine
    Given a cluster of 1 engines and 1 nodes
    When a caller closes its connection after the first token of a long stream
    Then the engine eventually holds no attempt
    And the node counted a cancelled attempt

  Scenario: A caller that reads slowly gets its whole stream, with bounded memory on the node
    Given a cluster of 1 engines and 1 nodes
    When a caller pauses for 3 seconds while a stream of 1200 tokens arrives
    Then the stream is complete
    And the memory of the node grew by less than 40 megabytes

  Scenario: A tenant over its rate limit is refused at once with a Retry-After header
    Given a cluster of 1 engines and 1 nodes
    When the operator confirms an intent on node 0
      """
      {"tenants": [{"name": "tenant-1", "api_keys": ["key-of-tenant-1"],
                    "requests_per_second": 0.1, "request_burst": 1}]}
      """
    And a request with a valid body is sent
    And a request with a valid body is sent
    Then the response has status 429, code 2003 and execution not-run
    And the response has a Retry-After header

  Scenario: Chat responses have the OpenAI format, complete and streamed
    Given a cluster of 1 engines and 1 nodes
    Then a complete chat response has a message, a finish reason and usage
    And a streamed chat response has deltas, a finish reason and the end marker
    And the models are listed

  Scenario: A draining node refuses new requests and finishes the running ones
    Given a cluster of 2 engines and 2 nodes
    When node 0 receives SIGTERM while 4 streams run
    Then a new request to node 0 is refused as not run with code 2006
    And the 4 streams are complete and node 0 exits with 0

  Scenario: A second signal stops a node at once and is reported
    Given a cluster of 1 engines and 1 nodes
    When node 0 receives SIGTERM twice while 2 streams run
    Then node 0 exits with 3 and its log reports a second signal
