Feature: The program that serves the users' platform, as separate processes before a stand-in

  Background:
    Given a stand-in platform with 2 desk engines and 2 model engines

  Scenario: Each kind of request is served, and only what the platform says is changed
    Given a node
    When a client posts to "/whole/a%2Fb/..;x?q=%7E&&r" with forged internal headers
    Then the answer is an engine's, whole and signed
    And the engine got the target "/whole/a%2Fb/..;x?q=%7E&&r" unchanged, the tenant and no key
    And none of the forged headers reached the engine
    When a client gets "/safe/x"
    Then the answer is an engine's, whole and signed
    When a client asks for a stream at "/stream/x"
    Then the stream has events 1 to 4 and is complete

  Scenario: Malformed and oversized requests get a final answer and reach no engine
    Given a node
    When hostile requests are sent
    Then each got a final status or a closed connection, and none reached an engine

  Scenario: Unknown routes and keys are refused, and before a configuration nothing is said of them
    Given a node
    Then "/nowhere/x" with the known key is answered 404
    And "/whole/x" with another key is answered 401

  Scenario: A node without a configuration answers 503 with a time to come back
    Given the store has no configuration
    And a node that is not ready
    Then "/whole/x" with the known key is answered 503 with a time to come back

  Scenario Outline: What a faulty engine does is never taken for a good answer
    Given a node
    And the next request to any desk engine meets the fault "<fault>"
    When a client posts to "/whole/x"
    Then the answer has status <status>
    And it ran at most once

    Examples:
      | fault          | status |
      | close          | 502    |
      | crossed        | 502    |
      | reset_unframed | 502    |
      | shed           | 200    |
      | shed_without_id | 502    |
      | fail           | 500    |

  Scenario Outline: Bytes after a complete answer belong to no request
    Given a node
    And the next request to any desk engine meets the fault "<fault>"
    When 6 clients post to "/whole/x" one after the other
    Then every client got the answer to its own request

    Examples:
      | fault      |
      | extra      |
      | extra_late |

  Scenario: A request on a kept connection that the engine closes is not sent again by a library
    Given a node
    When a client gets "/whole/x"
    And every engine closes the next requests without an answer
    And a client gets "/whole/x"
    Then that request reached engines 1 time
    And the answer has status 502

  Scenario: A torn stream that may not be begun anew goes on with the copy of its run
    Given engines that send copies of runs to each other
    And a node
    And the next request to any model engine meets the fault "torn"
    When a client asks for a stream of up to 2000 tokens at "/stream/x"
    Then the stream has events 1 to 4 and is complete
    And it went on at the engine that had the copy

  Scenario: No copy is made of a run that is over soon
    Given engines that send copies of runs to each other
    And a node
    And the next request to any model engine meets the fault "torn"
    When a client asks for a stream at "/stream/x"
    Then the stream is not complete

  Scenario: A torn stream is resumed elsewhere if that is allowed, and broken off otherwise
    Given a node
    And the next request to any model engine meets the fault "torn"
    When a client asks for a stream at "/resume/x"
    Then the stream has events 1 to 4 and is complete
    Given the next request to any model engine meets the fault "torn"
    When a client asks for a stream at "/stream/x"
    Then the stream is not complete

  Scenario: An engine stops when its client leaves
    Given a node
    And model engines take 10 s for a stream
    When a client leaves during a stream
    Then the engine's work is cut within 0.5 s

  Scenario: A leaving engine gets no new requests, and an address in new hands gets none of the old
    Given a node
    When the first desk engine is replaced by an engine of another service at its address
    Then 10 requests to "/whole/x" are served and none ran on the other service

  Scenario: Configurations only go forward, also when the store has lost its history
    Given a node
    When the configuration loses a route while the store drops its history
    Then within 2 s "/whole/x" with the known key is answered 404

  Scenario: A key that was taken away is refused, and unproven keys are once the store is silent
    Given bounds of 2 s for keys
    And a node
    When the key is taken away
    Then within 2 s "/whole/x" with the known key is answered 401
    When the key is given back
    Then within 2 s "/whole/x" with the known key is answered 200
    When the store falls silent
    Then within 3 s "/whole/x" with the known key is answered 503 with a time to come back
    When the store answers again
    Then within 4 s "/whole/x" with the known key is answered 200

  Scenario: A tenant's limit in tokens holds over two nodes, and a lowered one at once
    Given 2 nodes
    When the tenant may use 1000 tokens a second, and a request without a prompt counts 200
    And both nodes are asked for 30 requests each to "/whole/x" at once
    Then between 5 and 20 of them are served, and the others are answered 429 with code 2012
    And each of these is told another time to come back, of 30 s at the most
    And a node's log tells that "tenant-1" is limited, and its metrics count the refusals
    And within 4 s "/whole/x" with the known key is answered 200
    When the tenant may use 100000 tokens a second, and a request without a prompt counts 200
    And 1 s passes
    And both nodes are asked for 30 requests each to "/whole/x" at once
    Then between 60 and 60 of them are served, and the others are answered 429 with code 2012

  Scenario: A planned stop cuts nothing, and peers no longer name the node
    Given 2 nodes
    And model engines take 1 s for a stream
    When the first node is told to stop during a stream
    Then within 1 s the second node names only itself
    And the first node is not ready
    And the stream has events 1 to 4 and is complete
    And the first node exits with code 0 within 8 s

  Scenario: A node about to end refuses what comes late, and still finishes what it took
    Given a node
    And model engines take 3.7 s for a stream
    And a connection to the node that was used before
    When the node is told to stop during a stream and 3.2 s pass
    Then a request on that connection is answered 503 with a time to come back and ran nowhere
    And the stream has events 1 to 4 and is complete
    And the first node exits with code 0 within 8 s

  Scenario: A reload cuts nothing and tells of a wrong file
    Given a node
    When its settings file is broken and it is told to reload
    Then its log has "reload_refused"
    And "/whole/x" with the known key is answered 200

  Scenario: New weights reach every engine under one holder, with each engine ordered once
    Given 2 nodes
    When version 2 of the weights is named
    Then within 8 s every model engine has version 2
    And each model engine was ordered 1 time, by one holder

  Scenario: When the holder is killed midway another one finishes with a higher fence
    Given 2 nodes
    And engines take 2 s to load
    When version 2 of the weights is named and the holder is killed after its first order
    Then within 14 s every model engine has version 2
    And orders of the second holder came 3 s after the first's, with a higher fence

  Scenario: A node that stood still sends nothing to engines that left meanwhile
    A node stands still while it connects to an engine that takes no connections. Engines say
    meanwhile that they leave, and clients send requests. The node wakes, finds that its attempt
    took too long, reads the requests, and chooses engines for all of them before it has read
    what the store told. What it believes is 2.8 s old, and no engine may get a request 2 s after
    its leaving was acknowledged.

    Given a node
    And a request at "/whole/x" is on its way to an engine that takes no connections
    When the node stands still for 3 s, and at 0.2 s all desk engines leave and 3 clients post to "/whole/x"
    Then no engine that left got a request

  Scenario: All nodes restart at once and serve again
    Given 2 nodes
    When all gateways are killed and started again
    Then within 3 s "/whole/x" with the known key is answered 200

  Scenario: A reader of the log that stalls delays no answer
    Given a node whose log nobody reads
    When 300 clients post to "/nowhere/x"
    Then "/whole/x" with the known key is answered 200

  Scenario: A wrong setting ends the program with one line
    When a node is started with "GraceS" set to "soon"
    Then it ends with code 2 and one line naming the file, "Bounds.GraceS", "soon" and what was expected

  Scenario: Counters are served as text
    Given a node
    When a client posts to "/whole/x"
    Then the metrics tell of 1 request served
