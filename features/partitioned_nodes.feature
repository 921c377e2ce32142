Feature: A node is stopped or cut off while engines of another version come

  Guards against streams that hold events of engines of two software versions, because a node did not
  learn that a second version came, and against streams of the only version that do not go on.

  Scenario Outline: Streams go on at another version at a node that was out of touch: <kind>, <seconds> s, <ended>, <later> s
    Given 3 engines of version v1.1 and 0 of version v1.2 in processes of their own
    And 4 nodes before them whose links can be cut, which have been ready for 2 s
    When the first node is <kind> for <seconds> s, 6 engines of v1.2 come, and 40 streams begin at the others
    And callers resume these at the first node <later> s after that has ended, once <ended>
    Then no stream holds events of two versions
    And of the streams whose version has engines, at least 0.95 are complete

    Examples:
      | kind                                 | seconds | ended                          | later |
      | stopped                              | 3       | the engines of v1.2 have ended | 0     |
      | stopped                              | 3       | the engines of v1.2 have ended | 0.3   |
      | stopped                              | 3       | their callers have left        | 0     |
      | cut off from the store and its peers | 3       | the engines of v1.2 have ended | -0.8  |
      | cut off from the store and its peers | 4       | their callers have left        | -1.8  |
      | cut off from the store and its peers | 3       | the engines of v1.2 have ended | 0     |
      | cut off from the store and its peers | 3       | the engines of v1.2 have ended | 1     |
      | cut off from the store               | 3       | the engines of v1.2 have ended | -0.8  |
      | cut off from its peers               | 3       | the engines of v1.2 have ended | -0.8  |

  Scenario Outline: Streams of the only version do not go on at a node that was out of touch: <kind>, <later> s
    Given 6 engines of version v1.1 and 0 of version v1.2 in processes of their own
    And 4 nodes before them whose links can be cut, which have been ready for 2 s
    When the first node is <kind> for 4 s, 1 engines of v1.1 come, and 40 streams begin at the others
    And callers resume these at the first node <later> s after that has ended, once their callers have left
    Then of the streams whose version has engines, at least 1.0 are complete
    And at most <refused> resumptions were refused

    Examples:
      | kind                                 | later | refused |
      | as all nodes cut off from the store  | -1.8  | 0       |
      | cut off from the store               | -1.8  | 0       |
      | cut off from its peers               | -1.8  | 0       |
      | stopped                              | 0     | 0       |
      | cut off from the store and its peers | 0     | 40      |
      | cut off from the store and its peers | -1.8  | 160     |

  Scenario: Streams go on at another version that replaced theirs at its addresses, at a node that was cut off
    Given 6 engines of version v1.1 and 0 of version v1.2 in processes of their own
    And 4 nodes before them whose links can be cut, which have been ready for 2 s
    When the first node is cut off from the store and its peers for 2.5 s after 40 streams have begun at the others, and 3 engines are replaced by ones of v1.2 at their addresses
    And callers resume these at the first node -0.5 s after that has ended, once their callers have left
    Then no stream holds events of two versions
    And of the streams whose version has engines, at least 0.95 are complete

  Scenario: Streams go on at engines without start times that replaced theirs, at a node that was cut off
    Given 6 engines of version v1.1 without start times in processes of their own
    And 4 nodes before them whose links can be cut, which have been ready for 2 s
    When the first node is cut off from the store and its peers for 2.5 s after 40 streams have begun at the others, and 3 engines are replaced by ones of v1.2 at their addresses
    And callers resume these at the first node -0.5 s after that has ended, once their callers have left
    Then no stream holds events of two versions
    And of the streams whose version has engines, at least 0.95 are complete
