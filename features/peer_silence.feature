Feature: Peers that stopped reporting are not listed

  Scenario Outline: A peer that stopped without notice is listed for at most two seconds
    Given <nodes> nodes of 3 zones that report to each other, with 5 % of the datagrams lost
    When one of them stops without notice
    Then no node of its zone lists it <late> s later
    And no other node of that zone was omitted in the minute before

    Examples:
      | nodes | late |
      | 7     | 2.1  |
      | 79    | 2.1  |
      | 195   | 2.1  |
      | 350   | 2.1  |

  Scenario: A node that receives no reports goes on listing all peers
    Given 7 nodes of 3 zones that report to each other, with 0 % of the datagrams lost
    When one of them stops receiving reports from all others
    Then it still lists all of them

  Scenario: A peer that comes back is listed again with its first report
    Given 7 nodes of 3 zones that report to each other, with 0 % of the datagrams lost
    When one of them stops without notice
    And it reports again after 5 s
    Then every node that gets its reports lists it
