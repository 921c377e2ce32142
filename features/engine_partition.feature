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
