Feature: What one node does about requests under which engines end

  Background:
    Given three nodes that hear each other at once, and engines 1 to 6

  Scenario: All nodes judge alike, and the loser writes and tells
    When node 1 loses "deadly" early with engine 1, and node 2 with engine 2 a second later
    Then after 0.2 s all nodes keep "deadly" from engines for about 600 s
    And a node that lost it wrote it at once, and node 3 only if nobody does

  Scenario: A request that ends engines now and then for longer than they are remembered is judged
    When node 1 loses "deadly" early with engine 1
    And nothing happens for 500 s
    And an engine without it has ended, and node 2 loses "deadly" early with engine 2
    And nothing happens for 110 s
    And node 3 loses "deadly" early with engine 3
    Then after 0.2 s all nodes keep "deadly" from engines for about 600 s

  Scenario: A loser that hears of a quarantine before it has judged writes what it knows, at once
    When node 1 loses "deadly" early with engine 1, and node 2 with engine 2 a second later
    And node 2 hears from node 3 that "deadly" is kept from engines
    Then node 2 wrote it at once, with its route

  Scenario: A report that is told again is no new run of a request in quarantine
    When node 1 loses "deadly" early with engine 1, and node 2 with engine 2 a second later
    And after 0.3 s node 2 tells of its run again
    Then no node answers it

  Scenario: A request waits for its judgement, and others do not
    When node 1 loses "deadly" early with engine 1, and node 2 with engine 2 a second later
    Then node 2 holds "deadly" back for 0.1 s and "other" not at all

  Scenario: A loser that hears of the first end after the second one writes at once, too
    Given node 2 hears node 1 half a second late
    When node 1 loses "deadly" early with engine 1, and node 2 with engine 2 a second later
    Then after 0.8 s all nodes keep "deadly" from engines for about 600 s
    And a node that lost it wrote it at once, and node 3 only if nobody does

  Scenario: A run that breaks at an engine that goes on tells nothing
    When node 1 loses "deadly" early with engine 1 that goes on, twice
    Then no node suspects "deadly"

  Scenario: Whoever was given up by its caller just before the end is a suspect
    When node 1 gives "deadly" up 0.2 s before it finds that engine 1 has ended
    Then all nodes suspect "deadly"

  Scenario: Whoever was given up long before is none
    When node 1 gives "deadly" up 0.8 s before it finds that engine 1 has ended
    Then no node suspects "deadly"

  Scenario: A suspect that is served is none any more, at any node
    When node 1 loses "deadly" early with engine 1, and node 3 sees it served
    Then no node suspects "deadly"

  Scenario: What one node has served lately is a suspect at none
    When node 3 sees "deadly" served
    And node 1 loses "deadly" early with engine 1, and node 2 with engine 2 a second later
    Then no node suspects "deadly"

  Scenario: What a node has served lately itself it tells nobody of
    When node 1 sees "deadly" served
    And node 1 loses "deadly" early with engine 1
    Then no node was told anything, and no node suspects "deadly"

  Scenario: What was served long ago may be one
    When node 3 sees "deadly" served
    And nothing happens for 12 s
    And node 1 loses "deadly" early with engine 1, and node 2 with engine 2 a second later
    Then after 0.2 s all nodes keep "deadly" from engines for about 600 s

  Scenario: An end under a request in quarantine counts against no other one
    Given node 3 heard nothing of it that "deadly" is kept from engines
    When node 3 loses "deadly" early with engine 3, and "other" with it
    And node 1 loses "other" early with engine 4
    Then after 0.2 s nobody keeps "other" from engines

  Scenario: A node that knows of no quarantine is told when it reports a run
    Given node 3 heard nothing of it that "deadly" is kept from engines
    When node 3 loses "deadly" early with engine 3
    Then after 0.2 s all nodes keep "deadly" from engines for about 600 s

  Scenario: Each further end doubles the time, and a success after it ends the record
    Given all nodes kept "deadly" from engines until a moment ago
    When node 1 loses "deadly" early with engine 4
    Then after 0.2 s all nodes keep "deadly" from engines for about 1200 s

  Scenario: A request that is served after its time leaves the list and the store
    Given all nodes kept "deadly" from engines until a moment ago
    When node 3 sees "deadly" served
    Then no node suspects "deadly"
    And node 3 removes its record

  Scenario: A record that an operator removed is not written again
    When node 1 loses "deadly" early with engine 1, and node 2 with engine 2 a second later
    And its record is removed before node 3 would have written it
    Then no node suspects "deadly"
    And node 3 writes nothing

  Scenario Outline: Random <bytes> are records or refused, never more
    Then 300 random <bytes> are taken or refused without an error of another kind

    Examples:
      | bytes     |
      | records   |
      | datagrams |
