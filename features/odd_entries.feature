Feature: Entries of other writers that no node can use

  Background:
    Given a stand-in platform with 1 desk engines and 0 model engines

  Scenario Outline: <entries> end no node's view of the engines
    Given 2 nodes
    When other writers leave <entries> in the store, and an engine joins at the same moment
    Then each node uses the engine that joined
    And engines that join and leave afterwards are noticed, and requests are served
    When a node starts again
    Then it uses the same engines, and no task of any node failed
    When sound entries replace them
    Then they are in force at each node

    Examples:
      | entries                                |
      | weights versions that are no integers  |
      | engine records with an odd value       |
      | a configuration of an infinite version |
      | a configuration whose host is a number |
      | records of nodes that are out of range |

  Scenario Outline: An odd value in a field of <kind> ends no node's view of the engines
    Then no odd value in a field of <kind> fails in a node, or in one that follows it, or changes its engines

    Examples:
      | kind               |
      | a configuration    |
      | a weights version  |
      | an engine's record |

  Scenario: Rows of the store with odd fields end no node's view of the engines
    Given 2 nodes
    When rows of records get odd fields, and an engine joins at the same moment
    Then each node uses the engine that joined
    And engines that join and leave afterwards are noticed, and requests are served
    When a node starts again
    Then it uses the same engines, and no task of any node failed
    When sound entries replace them
    Then they are in force at each node

  Scenario: An answer of the store that no node can use counts as none
    Given a store whose answers are any bytes
    Then each call that gets an odd answer fails like one that the store does not answer

  Scenario: Odd values in any fields of engines' records leave the other engines in use
    Then 2000 random records of engines leave the other engines in use, and are told to peers

  Scenario: A quarantine record of the largest numbers is put in force, extended and told
    Then a quarantine entry with the largest numbers of its message can be extended and told

  Scenario: A report of an engine that no node can use counts as none
    Then no report of an engine with an odd value in a field fails at the node that asked for it

  Scenario: An event's id of thousands of digits counts as none
    Then an event of an engine whose id has 5000 digits is passed on like one without an id

  Scenario: A settings file with an odd value is refused with an error that names it
    Then each odd value in a settings file is refused, and the file without one is not

  Scenario: An odd row of the own interface's machine list leaves the other machines in it
    Given the own interface's store whose answers are any bytes
    Then a machine list with odd rows has the sound ones

  Scenario: An answer to the own interface that no node can use counts as none
    Given the own interface's store whose answers are any bytes
    Then each of its calls that gets an odd answer fails like one that the store does not answer

  Scenario: A report or cache event of an engine with odd values ends no task of the own interface
    Given the own interface's store whose answers are any bytes
    Then each odd report and event of an engine counts as none, or can be told to other nodes

  Scenario: A member whose address no datagram can be sent to ends no task of a node
    Given 2 nodes
    When a datagram tells a node of members with odd addresses
    Then for 4 s no task of any node fails, and each node counts 2 nodes
