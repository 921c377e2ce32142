Feature: A node's own links to engines, in virtual time

  Guards against nodes that take a cut of their own links for the state of engines, or notice it
  late, and against links that are given up although their engines are only silent.

  Background:
    Given a node with 9 engines that answer requests after 0.09 s

  Scenario Outline: A cut of all links is noticed late
    When it sends a request every 0.15 s, and after 2 s all links <fail>
    Then within <seconds> s all 9 links are down

    Examples:
      | fail         | seconds |
      | hang         | 0.8     |
      | are refused  | 0.5     |

  Scenario: Links are not used again soon after a cut
    When it sends a request every 0.15 s, and after 2 s all links hang
    And 10 s later they are restored
    Then within 1.1 s all 9 links are up

  Scenario: A silent engine is taken for one that is cut off
    When it sends a request every 0.15 s, and after 2 s one engine is silent for 1.2 s
    And 5 s pass at the node
    Then no link went down
    And it probed at most 6 times

  Scenario: A busy process takes its own delay for links that are down
    When it sends a request every 0.15 s, and after 2 s its probes and answers are late for 2 s
    Then no link went down

  Scenario: One engine that ends makes all links suspect again and again
    When it sends a request every 0.15 s, and after 2 s one engine ends
    And 5 s pass at the node
    Then 1 link is down
    And it probed at most 20 times

  Scenario Outline: A request that crashes engines goes on as the end of one waits for peers
    Given 2 peers of which <answering> answer that they do not reach an engine
    When the node asks them whether the engine has ended
    Then it knows within 0.2 s that no peer reaches it

    Examples:
      | answering |
      | 0         |
      | 1         |
      | 2         |

  Scenario: A link whose lost connection was probed already is probed again
    When it loses a connection whose engine is found to accept others at once
    And 1 s pass at the node
    Then it probed at most 0 times

  Scenario: Attempts that cannot connect together delay the next probe of their link
    When 12 attempts over one link cannot connect, one after the other within 0.1 s
    Then the link is probed within 0.3 s of the first

  Scenario: Links are probed without cause
    When it sends a request every 0.15 s for 20 s
    Then it probed at most 0 times

  Scenario: Attempts that wait on a link that is down are not ended
    When it sends a request every 0.15 s, and after 2 s all links hang
    And 2 s pass at the node
    Then every request of the last 2 s that waited for 0.6 s was told that its link is down
