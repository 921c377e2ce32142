Feature: All nodes are killed at once under streams, and start again

  Guards against streams that hold events of engines of two software versions, or do not go on,
  because no node is left that knows which version began them.

  Scenario Outline: Streams go on at another version after all nodes restarted: <older>, <newer>, <meanwhile>
    Given <older> engines of version v1.1 and <newer> of version v1.2 in processes of their own
    And 4 nodes before them, which have been ready for 2 s
    When 40 streams begin within 1.2 s, all nodes are killed, <meanwhile>, and the nodes start again
    And the callers resume their streams until they are complete or refused for 6 s
    Then no stream holds events of two versions
    And of the streams whose version has engines, at least <share> are complete

    Examples:
      | older | newer | meanwhile                   | share |
      | 6     | 0     | nothing else changes        | 1.0   |
      | 4     | 0     | other engines of v1.1 start | 1.0   |
      | 4     | 4     | nothing else changes        | 0.95  |
      | 4     | 4     | the engines of v1.1 leave   | 0.5   |
      | 4     | 4     | the engines of v1.1 crash   | 0.5   |
      | 4     | 0     | 4 engines of v1.2 start     | 0.95  |
      | 4     | 4     | the store falls silent      | 0.5   |

  Scenario Outline: Streams go on at a version that replaced theirs: <replaced>, <restart>
    Given 4 engines of version v1.1 and 0 of version v1.2 in processes of their own
    And 4 nodes before them, which have been ready for 2 s
    When 40 streams begin within 1.2 s, engines of v1.2 take over <replaced>, and <restart>
    And the callers resume their streams until they are complete or refused for 3 s
    Then no stream holds events of two versions
    And each resumption that could not go on was refused with a time to come back

    Examples:
      | replaced           | restart                             |
      | while no node runs | all nodes restart                   |
      | before             | all nodes restart                   |
      | before             | all nodes restart twice             |
      | before             | the nodes restart one after another |
      | before             | all nodes but one restart           |

  Scenario: Streams do not go on that began just before all nodes were killed
    Given 4 engines of version v1.1 and 4 of version v1.2 in processes of their own
    And 4 nodes before them, which have been ready for 2 s
    When 100 streams begin within 1 s, all nodes are killed 0.02 s later, and start again
    And the callers resume their streams until they are complete or refused for 6 s
    Then no stream holds events of two versions
    And of the streams whose version has engines, at least 0.95 are complete

  Scenario: Streams go on at another version after all nodes restarted twice
    Given 4 engines of version v1.1 and 4 of version v1.2 in processes of their own
    And 4 nodes before them, which have been ready for 2 s
    When 40 streams begin within 1.2 s, the engines of v1.1 crash between two restarts of all nodes
    And the callers resume their streams until they are complete or refused for 6 s
    Then no stream holds events of two versions
    And of the streams whose version has engines, at least 0.5 are complete

  Scenario Outline: Streams go on at another version at the only node that was not killed: <restarted> s
    Given 4 engines of version v1.1 and 0 of version v1.2 in processes of their own
    And 4 nodes before them, which have been ready for 2 s
    And all nodes restarted <restarted> s ago, and 4 engines of version v1.2 came 2 s ago
    When 60 streams begin at the nodes but the first, and these are killed
    And the callers resume their streams until they are complete or refused for 6 s
    Then no stream holds events of two versions
    And of the streams whose version has engines, at least 0.5 are complete

    Examples:
      | restarted |
      | 5         |
      | 13        |

  Scenario: Streams go on at another version though theirs could not be recorded
    Given 4 engines of version v1.1 and 0 of version v1.2 in processes of their own
    And 4 nodes before them, which have been ready for 2 s
    And the store has refused writes since before 4 engines of version v1.2 came 2.6 s ago
    When 40 streams begin within 1.2 s, all nodes are killed, the store takes writes, and the nodes start again
    And the callers resume their streams until they are complete or refused for 3 s
    Then no stream holds events of two versions

  Scenario: Streams go on at another version after all nodes restarted without a record of versions
    Given 4 engines of version v1.1 and 4 of version v1.2 in processes of their own
    And 4 nodes before them, which have been ready for 5 s
    When 40 streams begin within 1.2 s, all nodes are killed, v1.1 and the record go, and the nodes start again
    And the callers resume their streams until they are complete or refused for 3 s
    Then no stream holds events of two versions
    And of the streams whose version has engines, at least 0.5 are complete

  Scenario Outline: Streams go on at another version while it is not known that their nodes have ended: <seconds> s
    Given 4 engines of version v1.1 and 0 of version v1.2 in processes of their own
    And 4 nodes before them, which have been ready for 2 s
    When all nodes restart, 4 engines of v1.2 start <seconds> s later, and all nodes but one are killed as 100 streams begin
    And callers resume each stream as soon as it is lost, for 3 s
    Then no stream holds events of two versions

    Examples:
      | seconds |
      | 1       |
      | 11      |
