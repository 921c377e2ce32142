Feature: Nodes that are cut off from engines

  Guards against nodes that refuse the requests of their callers while they cannot reach the
  engines themselves, although other nodes can.

  Scenario Outline: Callers of nodes that are cut off from all engines are not served
    Given a stand-in platform with 2 desk engines and 2 model engines
    And 5 nodes whose links to engines can be cut
    And callers that call all nodes on "<first>" and "<second>" and note what they get
    When the links of 2 nodes to all engines <fail> for 5 s
    And the callers go on for 3 s
    Then from 1 s after the cut began the cut nodes served at least 0.95 of what the others served
    And from 0.5 s after its end the cut nodes served at least 0.95 of what the others served
    And no request ran twice

    Examples: ways in which links fail
      | first | second | fail                       |
      | whole | stream | hang                       |
      | safe  | resume | are reset and then refused |
      | whole | resume | refuse new connections     |

  Scenario: Most nodes are cut off, or a whole zone
    Given a stand-in platform with 2 desk engines and 2 model engines
    And 5 nodes whose links to engines can be cut, the first 3 in another zone
    And callers that call all nodes on "whole" and "resume" and note what they get
    When the links of 3 nodes to all engines hang for 5 s
    And the callers go on for 2 s
    Then from 1 s after the cut began the cut nodes served at least 0.95 of what the others served
    And from 0.5 s after its end the cut nodes served at least 0.95 of what the others served
    And no request ran twice

  Scenario: Cuts that come again
    Given a stand-in platform with 2 desk engines and 2 model engines
    And 5 nodes whose links to engines can be cut
    And callers that call all nodes on "whole" and "stream" and note what they get
    When the links of 2 nodes to all engines hang for 3 s, three times, 2 s apart
    And the callers go on for 2 s
    Then from 1 s after each cut began the cut nodes served at least 0.95 of what the others served
    And from 0.5 s after its end the cut nodes served at least 0.95 of what the others served
    And no request ran twice

  Scenario: Nodes whose peers are of an earlier build
    Given a stand-in platform with 2 desk engines and 0 model engines
    And 2 nodes whose links to engines can be cut, the second of build 3943703
    When the links of the first node to all engines are cut
    Then its callers are refused within 0.5 s, and the second node serves all of its own

  Scenario: Links that are reset are taken for engines that have ended
    Given a stand-in platform with 2 desk engines and 2 model engines
    And 5 nodes whose links to engines can be cut
    And callers that call all nodes on "whole" and "resume" and note what they get
    When the links of 2 nodes to all engines are reset and then refused for 2 s
    And the callers go on for 1 s
    Then no node has logged that an engine ended

  Scenario: An engine that ends is taken for one that is cut off
    Given a stand-in platform with 2 desk engines and 2 model engines
    And 5 nodes whose links to engines can be cut
    And callers that call all nodes on "resume" and "resume" and note what they get
    When a model engine crashes while it runs requests
    And the callers go on for 2 s
    Then a node has logged that this engine ended

  Scenario: Nodes that are cut off stay among the addresses for callers
    Given a stand-in platform with 2 desk engines and 2 model engines
    And 5 nodes whose links to engines can be cut
    And callers that call all nodes on "whole" and "stream" and note what they get
    When the links of 2 nodes to all engines hang for 3 s, and all nodes are asked for addresses after 1.2 s
    Then all nodes returned the 3 others alone
    And within 3 s after the cut all nodes return 5 addresses

  Scenario: A leader that is cut off from the engines goes on leading
    Given a stand-in platform with 2 desk engines and 2 model engines
    And 5 nodes whose links to engines can be cut
    And callers that call all nodes on "stream" and "stream" and note what they get
    When the links of the leader to all engines hang, and 1 s later new weights are named
    Then within 4 s all model engines have the new weights

  Scenario: New weights are named before the leader notices that it is cut off from the engines
    Given a stand-in platform with 2 desk engines and 2 model engines
    And 5 nodes whose links to engines can be cut
    And callers that call all nodes on "stream" and "stream" and note what they get
    When the links of the leader to all engines hang, and 0.3 s later new weights are named
    Then within 4 s all model engines have the new weights

  Scenario: A node that stops closes its callers' connections while it passes on requests of a peer
    Given a stand-in platform with 1 desk engines and 1 model engines
    And 2 nodes whose links to engines can be cut
    When the links of the first node to all engines are cut
    And a stream of 4 s of the first node runs through the second, which is stopped
    Then all calls on open connections are answered until 0.5 s before the exit
