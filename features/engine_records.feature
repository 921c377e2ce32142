Feature: What engines record of themselves, whoever wrote it and however often they start

  Scenario: An entry that is not an engine's names no engine to use
    Given a node that knows engines a and b with the weights of version 1
    Then no entry of a drawn at random that lacks a field or has one of another type leaves it in use
    And b is in use all the while

  Scenario Outline: A spoiled entry takes an engine out of use until the next good one
    Given a node that knows engines a and b with the weights of version 1
    When the entry of a is written again with <change>
    Then b alone is in use
    And a line tells of the entry once, and each is counted
    When the entry of a is written again as it was
    Then a and b are in use

    Examples:
      | change                      |
      | State = "resting"           |
      | State = 5                   |
      | Slots = "8"                 |
      | Slots = true                |
      | Slots = 0                   |
      | Address = "nowhere"         |
      | Address = "10.0.0.1:0"      |
      | Address = "10.0.0.1:70000"  |
      | Models = "m"                |
      | Models = [{"Name": "m"}]    |
      | Models = []                 |
      | Version = 7                 |
      | SeqNo = NaN                 |
      | SeqNo = 9223372036854775808 |
      | born = "today"              |
      | no Service                  |
      | no Address                  |
      | no Models                   |
      | a list in its place         |
      | bytes that are no text      |
      | lists a thousand deep       |
      | a megabyte of blanks        |

  Scenario: An engine of a service that the configuration does not name gets no orders
    Given a node that knows engines a and b with the weights of version 1
    When the entry of a is written again with Service = "another"
    And version 2 of the weights is wanted
    Then b alone is in use
    And b alone is to load

  Scenario: An entry without a start, where engines tell theirs, names no engine
    Given a node that knows engines a and b with the weights of version 1
    When the entry of a is written again with born = 1700000000000
    Then a alone is in use
    When the entry of b is written again with born = 1700000000500
    Then a and b are in use

  Scenario: An engine that starts again under its id is another one
    Given a node that knows engines a and b with the weights of version 1
    And both tell when they started
    And a has failed, keeps parts, and has requests of this node and others
    And version 2 of the weights is being loaded by a
    When the entry of a is written again with born = 1700000009000
    Then a and b are in use, and a at once
    And a holds no parts, requests or tokens, and no order of it is known
    And the former a has ended, as evidence against what ran there
    When a peer tells late of its load on the former a, and that it has loaded version 2
    Then a holds no parts, requests or tokens, and no order of it is known
    And a has the weights of version 1

  Scenario: An entry of the former start that comes late changes nothing
    Given a node that knows engines a and b with the weights of version 1
    And both tell when they started
    When the entry of a is written again with born = 1700000009000
    And an older entry of the former a arrives, which says that it leaves
    Then a and b are in use, and a at once

  Scenario: A start that lies before the last one is another start too
    Given a node that knows engines a and b with the weights of version 1
    And both tell when they started
    And a has failed, keeps parts, and has requests of this node and others
    When the entry of a is written again with born = 1600000000000
    Then a and b are in use, and a at once
    And a holds no parts, requests or tokens, and no order of it is known

  Scenario: A stream does not go on with a copy that the other engine had before it started again
    Given a node that knows engines a and b with the weights of version 1
    And both tell when they started
    And a stream ran at b whose copy was at a
    Then it may go on at a
    When the entry of a is written again with born = 1700000009000
    Then it may not go on at a
