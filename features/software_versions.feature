Feature: Engines of several software versions in one service

  Guards against streams that hold events of engines of two software versions: what two versions
  write does not fit together, and engines do not check this.

  Scenario: A stream goes on at another version after its engine crashed
    Given a stand-in platform whose model engines have 4 of version v1.1 and 4 of version v1.2
    And 2 nodes before them
    When 40 callers stream and half of the engines of each version crash under way
    Then no stream holds events of two versions
    And at least 0.95 of the streams are complete

  Scenario: A stream is resumed at another node, at another version
    Given a stand-in platform whose model engines have 4 of version v1.1 and 4 of version v1.2
    And 4 nodes before them
    When 40 callers stream, and leave and resume at another node 3 times
    Then no stream holds events of two versions
    And streams were resumed at least 0.95 as often as new ones began
