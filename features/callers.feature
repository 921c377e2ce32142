Feature: Callers that are slow, gone or over their rate

  Scenario: A caller that leaves has its attempt cancelled at the engine
    Given a cluster of 1 engines and 1 nodes
    When a caller closes its connection after the first token of a long stream
    Then the engine soon holds no attempt
    And the node counted a cancelled attempt

  Scenario: A caller that reads slowly gets all of its stream, and the node stays small
    Given a cluster of 1 engines and 1 nodes
    When a caller pauses for 3 seconds while a stream of 1200 tokens comes
    Then the stream is whole
    And the node grew by less than 40 megabytes

  Scenario: A tenant over its rate is refused at once and told when to come back
    Given a cluster of 1 engines and 1 nodes
    When the operator confirms an intent on node 0
      """
      {"tenants": [{"name": "tenant-1", "api_keys": ["key-of-tenant-1"],
                    "requests_per_second": 0.1, "request_burst": 1}]}
      """
    And a request with a good body is sent
    And a request with a good body is sent
    Then the answer has status 429, code 2003 and execution not-run
    And the answer says when to come back

  Scenario: A chat is answered in the OpenAI shape, whole and streamed
    Given a cluster of 1 engines and 1 nodes
    Then a whole chat has a message, a finish reason and usage
    And a streamed chat has deltas, a finish reason and the end mark
    And the models are listed

  Scenario: A draining node refuses, and finishes what it has
    Given a cluster of 2 engines and 2 nodes
    When node 0 is told to stop while 4 streams run
    Then a new request to node 0 is refused as not run with code 2006
    And the 4 streams end whole and node 0 exits with 0

  Scenario: A second signal stops at once and is reported
    Given a cluster of 1 engines and 1 nodes
    When node 0 is told twice to stop while 2 streams run
    Then node 0 exits with 3 and its log tells of a second signal
