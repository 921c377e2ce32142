Feature: Placement on engines of different speed

  Scenario: An engine that takes three times as long is detected as slow, and as recovered within 2 s
    Given 4 engines of which each reads 100000 tokens a second
    When they work at the same speed for 5 s
    Then none is slow
    When engine 0 takes 3 times as long for 5 s
    Then engine 0 is slow, takes between 2.5 and 3.5 times as long, and still gets work
    And it was reported slow once, with evidence
    When they work at the same speed for 2 s
    Then none is slow
    And it was reported recovered once, with evidence

  Scenario: A stalled connection, a long prompt or a weight load does not make an engine slow
    Given 4 engines of which each reads 100000 tokens a second
    When they work at the same speed for 5 s
    And one reading of engine 0 stalls for 2 s
    Then none is slow
    When a prompt of 60000 tokens is read at engine 1
    Then none is slow
    When engine 2 loads weights for 1 s, and its requests take 10 times as long
    Then none is slow

  Scenario: If all engines of a service slow down, none is slow and expected waits grow
    Given 4 engines of which each reads 100000 tokens a second
    When they work at the same speed for 5 s
    And all take 3 times as long for 5 s
    Then none is slow
    And 100000 tokens wait between 2.5 and 3.5 s at each

  Scenario: Reports of peers count until they expire or the engine restarts
    Given 4 engines of which each reads 100000 tokens a second
    When they work at the same speed for 5 s
    And 4 peers report that engine 0 takes 3 times as long
    Then engine 0 is slow, takes between 2 and 3.5 times as long, and still gets work
    When no peer reports anything for 40 s
    Then nothing is known of engine 0
    When 4 peers report that engine 0 takes 3 times as long
    And engine 0 restarts
    Then nothing is known of engine 0

  Scenario: An old report says nothing about the current speed
    Given 4 engines of which each reads 100000 tokens a second
    When 4 peers report that engine 0 takes 0.2 times as long
    And no peer reports anything for 3 s
    Then nothing is left of engine 0 but its long-term pace

  Scenario: A peer that reports wrong speeds or has a bad link has little influence
    Given 4 engines of which each reads 100000 tokens a second
    When they work at the same speed for 5 s
    And 4 peers report that engine 0 takes 1 times as long, and a faulty peer that it takes 100 times
    Then none is slow

  Scenario: Homes of shared parts stay in place while engines are equally fast
    Given 4 engines of which each reads 100000 tokens a second
    Then 400 shared parts have the homes that hashing alone gives
    When they work at the same speed for 5 s
    Then 400 shared parts have the homes that hashing alone gives
    When engine 0 takes 3 times as long for 5 s
    Then engine 0 is home to between 0.25 and 0.5 times as many shared parts as the others
    And no shared part moved between the others

  Scenario: A request without a prompt goes where it is expected to end first
    Given 3 plain engines with 6 slots
    Then of equally fast engines the one with the fewest requests is chosen
    When engine 0 takes 3 times as long for its answers for 5 s
    Then engine 0 is chosen with 0 requests against 6 at the others, and not against 1
    When more than 12 nodes choose
    Then 90 requests that find engine 1 idle don't all go there

  Scenario: A long prompt avoids a slow engine whose streams would pause too long
    Given 2 engines of which each reads 100000 tokens a second
    And a route that declares pauses of 0.3 s at most
    When engine 0 takes 4 times as long for 5 s
    And streams pause for as long as 20000 tokens take to be read
    And 6 streams run at engine 0
    Then a prompt of 9000 tokens makes more than 1 of them late, and none at engine 1

  Scenario: No pause is predicted for engines that read prompts in small pieces, whatever waits
    Given 2 engines of which each reads 100000 tokens a second
    And a route that declares pauses of 0.25 s at most
    When they work at the same speed for 5 s
    And streams pause for as long as 5000 tokens take to be read
    And 6 streams run at engine 0
    And 90000 tokens wait at engine 0
    Then a prompt of 9000 tokens makes none late at engine 0

  Scenario Outline: Reports of engine speeds take few bytes
    Given <nodes> nodes in <zones> zones and <engines> engines, all of which served each node
    Then a node sends at most <most> bytes a second of its own reports, in small datagrams

    Examples:
      | nodes | zones | engines | most   |
      | 7     | 1     | 4       | 1000   |
      | 86    | 3     | 30      | 30000  |
      | 350   | 5     | 300     | 200000 |

  Scenario: Engines of two speeds with slow phases, and many nodes that get reports late
    Given a simulation of 30 engines of two speeds and 24 nodes at 0.6 of their read capacity
    When it runs with one speed for all, with merged reports, and with all speeds known
    Then the slow engines do work within 0.1 of their fair share with merged reports, and more with one speed
    And the 99th percentile of the first event is at most 1.3 times that with all speeds known
    And at most 0.7 times as many answers are late as with one speed
    And no more than 1.05 times as many tokens are reread
