Feature: Requests that crash engines are put into quarantine at all nodes

  Background:
    Given three nodes that receive each other's reports at once, and engines 1 to 6

  Scenario: All nodes quarantine the same request, and a node that lost it stores and reports the entry
    When node 1 loses "deadly" early as engine 1 ends, and node 2 as engine 2 ends a second later
    Then after 0.2 s all nodes quarantine "deadly" for about 600 s
    And a node that lost it stored the entry at once, and node 3 only in case no other node does

  Scenario: A request is quarantined although its crashes are further apart than ends of engines are remembered
    When node 1 loses "deadly" early as engine 1 ends
    And nothing happens for 500 s
    And another engine has ended without it, and node 2 loses "deadly" early as engine 2 ends
    And nothing happens for 110 s
    And node 3 loses "deadly" early as engine 3 ends
    Then after 0.2 s all nodes quarantine "deadly" for about 600 s

  Scenario: A node with a loss that learns of a quarantine before its own decision stores the entry at once
    When node 1 loses "deadly" early as engine 1 ends, and node 2 as engine 2 ends a second later
    And node 3 reports to node 2 that "deadly" is in quarantine
    Then node 2 stored the entry at once, with its route

  Scenario: A repeated report is not taken for a new run of a request in quarantine
    When node 1 loses "deadly" early as engine 1 ends, and node 2 as engine 2 ends a second later
    And after 0.3 s node 2 reports its run again
    Then no node answers the report

  Scenario: A request waits for the decision on it, and others do not
    When node 1 loses "deadly" early as engine 1 ends, and node 2 as engine 2 ends a second later
    Then node 2 delays "deadly" by 0.1 s, and does not delay "other"

  Scenario: A node with a loss that learns of the first end after the second one stores the entry at once, too
    Given node 2 receives the reports of node 1 half a second after the second end
    When node 1 loses "deadly" early as engine 1 ends, and node 2 as engine 2 ends a second later
    Then after 0.8 s all nodes quarantine "deadly" for about 600 s
    And a node that lost it stored the entry at once, and node 3 only in case no other node does

  Scenario: A run that is lost at an engine that does not end is no evidence
    When node 1 twice loses "deadly" early at engine 1, which does not end
    Then no node suspects "deadly"

  Scenario: A request that its caller abandons just before the engine ends is a suspect
    When node 1 abandons "deadly" 0.2 s before it finds that engine 1 has ended
    Then all nodes suspect "deadly"

  Scenario: A request that its caller abandons long before the engine ends is no suspect
    When node 1 abandons "deadly" 0.8 s before it finds that engine 1 has ended
    Then no node suspects "deadly"

  Scenario: A suspect that is served is cleared at all nodes
    When node 1 loses "deadly" early as engine 1 ends, and node 3 sees it served
    Then no node suspects "deadly"

  Scenario: A request that one node served recently is a suspect at no node
    When node 3 sees "deadly" served
    And node 1 loses "deadly" early as engine 1 ends, and node 2 as engine 2 ends a second later
    Then no node suspects "deadly"

  Scenario: A node does not report the loss of a request that it served recently itself
    When node 1 sees "deadly" served
    And node 1 loses "deadly" early as engine 1 ends
    Then no report was sent, and no node suspects "deadly"

  Scenario: A request that was served long ago may be a suspect
    When node 3 sees "deadly" served
    And nothing happens for 12 s
    And node 1 loses "deadly" early as engine 1 ends, and node 2 as engine 2 ends a second later
    Then after 0.2 s all nodes quarantine "deadly" for about 600 s

  Scenario: An end during a request in quarantine is no evidence against another request
    Given node 3 alone does not know that "deadly" is in quarantine
    When node 3 loses "deadly" early as engine 3 ends, and "other" with it
    And node 1 loses "other" early as engine 4 ends
    Then after 0.2 s no node quarantines "other"

  Scenario: A node that does not know of a quarantine learns of it when it reports a run
    Given node 3 alone does not know that "deadly" is in quarantine
    When node 3 loses "deadly" early as engine 3 ends
    Then after 0.2 s all nodes quarantine "deadly" for about 600 s

  Scenario: Each further end doubles the time in quarantine
    Given the quarantine of "deadly" ended 1 s ago at all nodes
    When node 1 loses "deadly" early as engine 4 ends
    Then after 0.2 s all nodes quarantine "deadly" for about 1200 s

  Scenario: A request that is served after its quarantine is removed from the list and the store
    Given the quarantine of "deadly" ended 1 s ago at all nodes
    When node 3 sees "deadly" served
    Then no node suspects "deadly"
    And node 3 deletes its record

  Scenario: A record that an operator deleted is not stored again
    When node 1 loses "deadly" early as engine 1 ends, and node 2 as engine 2 ends a second later
    And its record is deleted before node 3 would have stored it
    Then no node suspects "deadly"
    And node 3 stores nothing

  Scenario Outline: Random <bytes> are decoded or refused, without another error
    Then 300 random <bytes> are decoded or refused without another error

    Examples:
      | bytes     |
      | records   |
      | datagrams |
