Feature: Nodes that stop while something they wait for does not answer

  Guards against a stopping node that begins requests which it cannot finish: it closed their
  connections without an answer as it ended.

  Scenario Outline: A stopping node begins a request that it cannot finish: <store>, <callers>
    Given a stand-in platform with 4 desk engines and 0 model engines
    And whole answers take 4 s
    And a node that leads
    When the node is asked to stop as the store <store>, and <callers> call it
    Then each request that an engine began was begun within 3 s of the signal and answered whole
    And the others were refused as not run
    And the node has ended within its grace time

    Examples:
      | store             | callers                          |
      | answers           | callers                          |
      | is silent         | callers                          |
      | is silent         | callers with open connections    |
      | falls silent then | callers                          |
      | is 0.75 s late    | callers                          |
      | answers           | callers with bodies 0.7 s late   |
      | is silent         | callers with bodies 1.5 s late   |

  Scenario: A peer sends a request through a stopping node, which cannot finish it
    Given a stand-in platform with 1 desk engines and 1 model engines
    And 2 nodes whose links to engines can be cut
    And the first node reaches no engine, and its peer reaches all
    When the second node is asked to stop, and 3.3 s later a client calls the first
    Then the request was begun at no engine, and was refused as not run
