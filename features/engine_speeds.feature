Feature: Engines that differ in speed are given work by what they can do

  Scenario: An engine that takes three times as long is found slow, and well again within 2 s
    Given 4 engines of which each reads 100000 tokens a second
    When they work alike for 5 s
    Then none is slow
    When engine 0 takes 3 times as long for 5 s
    Then engine 0 is slow, takes between 2.5 and 3.5 times as long, and still gets work
    And it was reported slow once, with evidence
    When they work alike for 2 s
    Then none is slow
    And it was reported well once, with evidence

  Scenario: A connection that stalls, a long prompt or a load of weights makes no engine slow
    Given 4 engines of which each reads 100000 tokens a second
    When they work alike for 5 s
    And one reading of engine 0 stalls for 2 s
    Then none is slow
    When a prompt of 60000 tokens is read at engine 1
    Then none is slow
    When engine 2 loads weights for 1 s, and what runs there takes 10 times as long
    Then none is slow

  Scenario: A service of which all engines slow down has no slow engine, and waits are longer
    Given 4 engines of which each reads 100000 tokens a second
    When they work alike for 5 s
    And all take 3 times as long for 5 s
    Then none is slow
    And 100000 tokens wait between 2.5 and 3.5 s at each

  Scenario: What peers tell is believed as long as it is fresh, and each engine's start forgets it
    Given 4 engines of which each reads 100000 tokens a second
    When they work alike for 5 s
    And 4 peers tell that engine 0 takes 3 times as long
    Then engine 0 is slow, takes between 2 and 3.5 times as long, and still gets work
    When nobody tells anything for 40 s
    Then nothing is known of engine 0
    When 4 peers tell that engine 0 takes 3 times as long
    And engine 0 starts anew
    Then nothing is known of engine 0

  Scenario: A word of before says nothing about now
    Given 4 engines of which each reads 100000 tokens a second
    When 4 peers tell that engine 0 takes 0.2 times as long
    And nobody tells anything for 3 s
    Then no evidence of engine 0 is left but what it lasted at

  Scenario: A peer that lies, or sees engines over a bad link, moves little
    Given 4 engines of which each reads 100000 tokens a second
    When they work alike for 5 s
    And 4 peers tell that engine 0 takes 1 times as long, and a liar that it takes 100 times
    Then none is slow

  Scenario: Homes of shared parts are where they were while engines are alike
    Given 4 engines of which each reads 100000 tokens a second
    Then 400 shared parts have the homes that hashing alone gives
    When they work alike for 5 s
    Then 400 shared parts have the homes that hashing alone gives
    When engine 0 takes 3 times as long for 5 s
    Then engine 0 is home to between 0.25 and 0.5 times as many shared parts as the others
    And no shared part moved between the others

  Scenario: A plain request goes where it is expected to end first
    Given 3 plain engines with 6 slots
    Then of engines alike the one with the fewest requests is taken, as before
    When engine 0 takes 3 times as long for its answers for 5 s
    Then engine 0 is taken with 0 requests against 6 at the others, and not against 1
    When more than 12 nodes choose
    Then 90 requests that find engine 1 idle don't all go there

  Scenario: A long prompt is kept from a slow engine where streams would pause too long
    Given 2 engines of which each reads 100000 tokens a second
    And a route that declares pauses of 0.3 s at most
    When engine 0 takes 4 times as long for 5 s
    And streams pause for as long as 20000 tokens take to be read
    And 6 streams run at engine 0
    Then a prompt of 9000 tokens makes more than 1 of them late, and none at engine 1

  Scenario: Where engines read small pieces no pause is foreseen, however much waits
    Given 2 engines of which each reads 100000 tokens a second
    And a route that declares pauses of 0.25 s at most
    When they work alike for 5 s
    And streams pause for as long as 5000 tokens take to be read
    And 6 streams run at engine 0
    And 90000 tokens wait at engine 0
    Then a prompt of 9000 tokens makes none late at engine 0

  Scenario Outline: What nodes tell of engines' speed takes few bytes
    Given <nodes> nodes in <zones> zones and <engines> engines, all of which worked for each node
    Then a node sends at most <most> bytes a second of it in words of its own, in small datagrams

    Examples:
      | nodes | zones | engines | most   |
      | 7     | 1     | 4       | 1000   |
      | 86    | 3     | 30      | 30000  |
      | 350   | 5     | 300     | 200000 |

  Scenario: Uneven engines with slow spells before many nodes that hear late
    Given a replay of 30 engines of two speeds before 24 nodes at 0.6 of what they can read
    When it is played as it was, merged, and with all speeds known
    Then merged the slow engines do within 0.1 of their fair share, and as it was more
    And the 99th percentile of the first event is at most 1.3 times that with all speeds known
    And at most 0.7 times as many answers are late as before
    And no more than 1.05 times as many tokens are read again
