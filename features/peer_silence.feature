Feature: A machine that is gone is named no more

  Scenario Outline: A peer that ended without a word is named no longer than two seconds
    Given <nodes> nodes of 3 zones that report to each other, of which 5 in 100 datagrams are lost
    When one of them ends without a word
    Then nobody of its zone names it <late> s later
    And no other node of that zone was left out in a minute before

    Examples:
      | nodes | late |
      | 7     | 2.1  |
      | 79    | 2.1  |
      | 195   | 2.1  |
      | 350   | 2.1  |

  Scenario: A node that hears nobody goes on naming all
    Given 7 nodes of 3 zones that report to each other, of which 0 in 100 datagrams are lost
    When all but one of them are cut off from it
    Then it still names all of them

  Scenario: A peer that comes back is named again as soon as it is heard
    Given 7 nodes of 3 zones that report to each other, of which 0 in 100 datagrams are lost
    When one of them ends without a word
    And it is heard again after 5 s
    Then everybody who hears it names it
