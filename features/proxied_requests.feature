Feature: Requests that a peer passes on to an engine

  Guards against a node without links to engines whose requests, sent by a peer, break the
  guarantees that hold over its own links.

  Background:
    Given a stand-in platform with 1 desk engines and 1 model engines
    And 2 nodes whose links to engines can be cut
    And the first node reaches no engine, and sends its requests by the second

  Scenario: The engine runs on after the caller has gone
    Given model engines that send 4 events, 0.5 s apart
    When a caller of the first node cancels a "stream" after 0.8 s
    Then its engine sees the cancellation within 0.5 s

  Scenario: Large bodies and answers are changed on the way
    When a caller of the first node sends 1000000 bytes to "whole"
    Then its engine received exactly these, with the caller's id and the time that was left

  Scenario: A long stream is cut or reordered for a slow reader
    Given model engines that send 600 events of 4000 bytes, 0.001 s apart
    When a caller of the first node reads a "stream" slowly
    Then it received all 600 events in order

  Scenario: A request that may run once is run again, or called not run, as its proxy dies
    Given model engines that send 6 events, 0.3 s apart
    When the second node is killed 0.5 s after a caller of the first node began a "stream"
    Then the answer was cut and the request ran once

  Scenario: A request that may run once is run again as its proxy is cut off too
    Given model engines that send 6 events, 0.3 s apart
    When the second node loses its links 0.5 s after a caller of the first node began a "stream"
    Then the answer was cut and the request ran once

  Scenario Outline: A peer takes the close of an engine that runs on for the end of a stream: <route>
    Given model engines that send 4 events, 0.05 s apart
    When a caller of the first node asks for a "<route>" that its engine closes after 2 events
    Then it gets <events> events, and a complete end

    Examples:
      | route  | events |
      | resume | 4      |
      | stream | 2      |

  Scenario: A caller chooses the engine of a proxy
    When a caller of the first node sends a request with the headers of a proxied one
    Then it was served by the engine of its route

  Scenario Outline: A proxy sends requests to addresses that are no engine's
    When a proxied request for <target> is sent to the second node
    Then it is refused as unavailable, and nothing was sent

    Examples:
      | target                       |
      | an unknown engine            |
      | a known engine elsewhere     |
      | no engine                    |

  Scenario: A proxy sends requests to an engine that is leaving
    When the desk engine is leaving, and a proxied request for it is sent to the second node
    Then it is refused as withdrawn, and nothing was sent
