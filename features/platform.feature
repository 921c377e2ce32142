Feature: The platform's program, as separate processes against a stand-in platform

  Background:
    Given a stand-in platform with 2 desk engines and 2 model engines

  Scenario: Each kind of request is served, and only the specified headers are changed
    Given a node
    When a client posts to "/whole/a%2Fb/..;x?q=%7E&&r" with forged internal headers
    Then the answer is an engine's, complete and signed
    And the engine got the target "/whole/a%2Fb/..;x?q=%7E&&r" unchanged, the tenant and no key
    And none of the forged headers reached the engine
    When a client gets "/safe/x"
    Then the answer is an engine's, complete and signed
    When a client asks for a stream at "/stream/x"
    Then the stream has events 1 to 4 and is complete

  Scenario: Malformed and oversized requests get a final answer and reach no engine
    Given a node
    When hostile requests are sent
    Then each got a final status or a closed connection, and none reached an engine

  Scenario: Unknown routes and keys are refused
    Given a node
    Then "/nowhere/x" with the known key is answered 404
    And "/whole/x" with another key is answered 401

  Scenario: A node without a configuration answers 503 with a Retry-After header
    Given the store has no configuration
    And a node that is not ready
    Then "/whole/x" with the known key is answered 503 with a Retry-After header

  Scenario Outline: A faulty response of an engine is never taken for a valid answer
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
      | unsigned       | 502    |
      | own_503        | 502    |
      | own_429        | 502    |
      | own_408        | 502    |
      | own_404        | 404    |

  Scenario Outline: A success without the engine's signature reaches no caller
    Given a node
    And the next request to any <kind> engine meets the fault "unsigned"
    When a client asks for <what>
    Then the answer has status <status>
    And engines ran it <runs> times

    Examples:
      | kind  | what                        | status | runs |
      | desk  | an answer at "/safe/x"      | 200    | 2    |
      | model | a stream at "/stream/x"     | 502    | 1    |
      | model | a stream at "/resume/x"     | 200    | 2    |

  Scenario Outline: Bytes after a complete answer belong to no request
    Given a node
    And the next request to any desk engine meets the fault "<fault>"
    When 6 clients post to "/whole/x" one after the other
    Then every client got the answer to its own request

    Examples:
      | fault      |
      | extra      |
      | extra_late |

  Scenario: The HTTP library does not resend a request on a persistent connection that the engine closes
    Given a node
    When a client gets "/whole/x"
    And every engine closes the next requests without an answer
    And a client gets "/whole/x"
    Then that request reached engines 1 time
    And the answer has status 502

  Scenario: A stream that may not be restarted is resumed from its backup if its engine has ended
    Given engines that back up requests to each other
    And a node
    And the next request to any model engine meets the fault "torn_crash"
    When a client asks for a stream of up to 2000 tokens at "/stream/x"
    Then the stream has events 1 to 4 and is complete
    And it was resumed at the engine that had the backup

  Scenario: A short request gets no backup
    Given engines that back up requests to each other
    And a node
    And the next request to any model engine meets the fault "torn"
    When a client asks for a stream at "/stream/x"
    Then the stream is not complete

  Scenario: An interrupted stream is resumed if the route allows it, and ends otherwise
    Given a node
    And the next request to any model engine meets the fault "torn"
    When a client asks for a stream at "/resume/x"
    Then the stream has events 1 to 4 and is complete
    Given the next request to any model engine meets the fault "torn"
    When a client asks for a stream at "/stream/x"
    Then the stream is not complete

  Scenario: An engine stops when the client disconnects
    Given a node
    And model engines take 10 s for a stream
    When a client disconnects during a stream
    Then the engine's work is cancelled within 0.5 s

  Scenario: A removed engine gets no new requests, nor does a different engine at its address
    Given a node
    When the first desk engine is replaced by an engine of another service at its address
    Then 10 requests to "/whole/x" are served and none ran on the other service

  Scenario: A newer configuration takes effect although the store has dropped its history
    Given a node
    When the configuration loses a route while the store drops its history
    Then within 2 s "/whole/x" with the known key is answered 404

  Scenario: Revoked keys are refused, and so are all keys once the store has stopped responding
    Given bounds of 2 s for keys
    And a node
    When the key is revoked
    Then within 2 s "/whole/x" with the known key is answered 401
    When the key is restored
    Then within 2 s "/whole/x" with the known key is answered 200
    When the store stops responding
    Then within 3 s "/whole/x" with the known key is answered 503 with a Retry-After header
    When the store answers again
    Then within 4 s "/whole/x" with the known key is answered 200

  Scenario: A tenant's token limit holds across two nodes, and a changed one takes effect at once
    Given 2 nodes
    When the tenant may use 1000 tokens a second, and a request without a prompt counts 200
    And both nodes are asked for 30 requests each to "/whole/x" at once
    Then between 5 and 20 of them are served, and the others are answered 429 with code 2012
    And most of these have different Retry-After values, all of at most 30 s
    And a node's log reports that "tenant-1" is limited, and its metrics count the refusals
    And within 4 s "/whole/x" with the known key is answered 200
    When the tenant may use 100000 tokens a second, and a request without a prompt counts 200
    And 1 s passes
    And both nodes are asked for 30 requests each to "/whole/x" at once
    Then between 60 and 60 of them are served, and the others are answered 429 with code 2012

  Scenario: A graceful shutdown interrupts no stream, and peers no longer list the node
    Given 2 nodes
    And model engines take 1 s for a stream
    When the first node is asked to stop during a stream
    Then within 1 s the second node lists only itself
    And the first node is not ready
    And the stream has events 1 to 4 and is complete
    And the first node exits with code 0 within 8 s

  Scenario: A node that shuts down refuses late requests and finishes those it has accepted
    Given a node
    And model engines take 3.7 s for a stream
    And a connection to the node that was used before
    When the node is asked to stop during a stream and 3.2 s pass
    Then a request on that connection is answered 503 with a Retry-After header and ran on no engine
    And the stream has events 1 to 4 and is complete
    And the first node exits with code 0 within 8 s

  Scenario: A reload of an invalid file is refused, and requests are still served
    Given a node
    When its settings file is broken and it is asked to reload
    Then its log has "reload_refused"
    And "/whole/x" with the known key is answered 200

  Scenario: A reload signal ends a node that is starting
    Given a node that has loaded its event loop, and not started it
    When it gets SIGHUP
    Then the node becomes ready

  Scenario: Every engine gets one load order for new weights, all from one leader
    Given 2 nodes
    When version 2 of the weights is published
    Then within 8 s every model engine has version 2
    And each model engine got 1 load order, all from one leader

  Scenario: When the leader is killed during a rollout another one finishes it with a higher fence
    Given 2 nodes
    And engines take 2 s to load
    When version 2 of the weights is published and the leader is killed after its first order
    Then within 14 s every model engine has version 2
    And orders of the second leader came 3 s after the first's, with a higher fence

  Scenario: A paused node sends no requests to engines that left meanwhile
    A node is paused while it connects to an engine. Once resumed, it finds that the attempt has timed
    out, and it reads the requests of clients and selects engines for them before it reads the changes
    from the store. Its state is 2.8 s old then; an engine must get no requests 2 s after the store
    acknowledged that the engine drains.

    Given a node
    And a request at "/whole/x" is waiting to connect to an engine that accepts no connections
    When the node is paused for 3 s, and at 0.2 s all desk engines leave and 3 clients post to "/whole/x"
    Then no engine that left got a request

  Scenario: All nodes restart at once and serve again
    Given 2 nodes
    When all gateways are killed and started again
    Then within 3 s "/whole/x" with the known key is answered 200

  Scenario: A log pipe that is not read delays no answer
    Given a node whose log output is not read
    When 300 clients post to "/nowhere/x"
    Then "/whole/x" with the known key is answered 200

  Scenario: An invalid setting ends the program with a one-line error
    When a node is started with "GraceS" set to "soon"
    Then it ends with code 2 and one line naming the file, "Bounds.GraceS", "soon" and what was expected

  Scenario: Metrics are served as text
    Given a node
    When a client posts to "/whole/x"
    Then the metrics count 1 served request

  Scenario Outline: A stream that ends with its connection is broken off where it ends inside an event: <fault>
    Given a node
    And the next request to any model engine meets the fault "<fault>"
    When a client asks for a stream at "/stream/x"
    Then the stream <verdict>

    Examples:
      | fault               | verdict                           |
      | unframed_complete   | has events 1 to 4 and is complete |
      | unframed_after_event | has events 1 to 2 and is complete |
      | unframed_in_name    | is not complete                   |
      | unframed_in_value   | is not complete                   |
      | unframed_after_line | is not complete                   |

  Scenario Outline: A resumable stream that ends inside an event goes on at another engine: <fault>
    Given a node
    And the next request to any model engine meets the fault "<fault>"
    When a client asks for a stream at "/resume/x"
    Then the stream has events 1 to 4 and is complete

    Examples:
      | fault               |
      | unframed_complete   |
      | unframed_in_name    |
      | unframed_in_value   |
      | unframed_after_line |

  Scenario: A resumable stream that its engine closes between two events, and runs on, ends as complete
    Given a node
    And the model engines make an event every 0.04 s
    And the next request to any model engine meets the fault "unframed_after_event"
    When a client asks for a stream at "/resume/x"
    Then the stream has events 1 to 4 and is complete

  Scenario Outline: An answer that ends with its connection is passed on whole at "<path>"
    Given a node
    And the next request to any desk engine meets the fault "unframed_complete"
    When a client posts to "<path>"
    Then the answer is an engine's, complete and signed

    Examples:
      | path     |
      | /whole/x |
      | /safe/x  |
