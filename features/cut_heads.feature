Feature: An answer that stops is not taken for a whole one

  Guards against a caller that gets a success framed as whole from an engine that stopped in the
  head, the framing or the body of its answer, and against a node that takes the rest of such an
  answer for a state.

  Scenario Outline: An engine's answer stops at any place, and its connection is <ending>: <route>
    Given a stand-in platform with 2 desk engines and 2 model engines
    And a node
    When the first answers on "<route>" stop at each place, and their connection is <ending>
    Then no caller got a success that looks whole and is not
    And the callers of "<route>" got what the engine after it answered, or an error

    Examples:
      | route  | ending |
      | whole  | closed |
      | safe   | closed |
      | stream | closed |
      | resume | closed |
      | whole  | reset  |
      | safe   | reset  |
      | stream | reset  |
      | resume | reset  |

  Scenario Outline: The second try stops too: <route>, <ending>
    Given a stand-in platform with 2 desk engines and 2 model engines
    And a node
    When all answers on "<route>" stop at each place, and their connection is <ending>
    Then no caller got a success that looks whole and is not
    And some requests were tried twice

    Examples:
      | route  | ending |
      | safe   | closed |
      | resume | closed |
      | safe   | reset  |
      | resume | reset  |

  Scenario Outline: An answer arrives in two segments, 1 s apart, and stops: <route>
    Given a stand-in platform with 2 desk engines and 2 model engines
    And a node
    When the first answers on "<route>" stop slowly at each place, and their connection is closed
    Then no caller got a success that looks whole and is not

    Examples:
      | route  |
      | whole  |
      | resume |

  Scenario Outline: The engine's process is killed as it writes its answer: <route>
    Given a stand-in platform with 1 desk engines and 1 model engines
    And a node
    When engines on "<route>" are killed at each place of their answer
    Then no caller got a success that looks whole and is not

    Examples:
      | route  |
      | whole  |
      | safe   |
      | stream |
      | resume |

  Scenario Outline: The answer that a peer passes on stops: <route>, <ending>
    Given a stand-in platform with 2 desk engines and 2 model engines
    And 2 nodes whose links to engines can be cut
    And the first node reaches no engine, and sends its requests by the second
    When the first answers on "<route>" stop at each place, and their connection is <ending>
    Then no caller got a success that looks whole and is not
    And the callers of "<route>" got what the engine after it answered, or an error

    Examples:
      | route  | ending |
      | whole  | closed |
      | safe   | closed |
      | stream | closed |
      | resume | closed |
      | whole  | reset  |
      | stream | reset  |
      | resume | reset  |

  Scenario Outline: A resumed run stops before its events, and its connection is <ending>
    Given a stand-in platform with 2 desk engines and 2 model engines
    And a node
    When the answers to resumed runs stop at each place, and their connection is <ending>
    Then no caller got a success that looks whole and is not

    Examples:
      | ending |
      | closed |
      | reset  |

  Scenario Outline: A run continued from its copy stops <place>, and its connection is <ending>
    Given a stand-in platform with 0 desk engines and 3 model engines
    And engines that hold copies of runs
    And a node
    When an engine crashes under a stream, and the answer to its continuation stops "<place>, <ending>"
    Then no caller got a success that looks whole and is not, of 1

    Examples:
      | place                            | ending |
      | in the status line               | closed |
      | in the digits of the length      | closed |
      | before the blank line            | closed |
      | after an interim head            | closed |
      | in the size of a chunk           | closed |
      | before the blank line of chunks  | reset  |
      | in the size of the second chunk  | reset  |

  Scenario Outline: A run continued from its copy ends as complete before its last piece: <pause> ms
    Given a stand-in platform with 0 desk engines and 3 model engines
    And engines that hold copies of runs
    And a node
    When an engine crashes under a stream, and its continuation has the fault "an early last chunk, the rest <pause> ms later, events <pause> ms apart"
    Then no caller got a success that looks whole and is not, or other bytes

    Examples:
      | pause |
      | 100   |
      | 300   |

  Scenario Outline: An engine ends in the report that would show that its answer is whole: <route>
    Given a stand-in platform with 1 desk engines and 2 model engines
    And a node
    When an engine closes a "<route>" after 2 events, and ends after the head of its report
    Then no caller got a success that looks whole and is not, of 1

    Examples:
      | route  |
      | stream |
      | resume |

  Scenario: A caller's request stops at any byte
    Given a stand-in platform with 1 desk engines and 0 model engines
    And a node
    When callers send a request up to each byte, and close, reset or half-close their connection
    Then only the whole request was run

  Scenario Outline: A reader takes what arrived of an answer for an answer: <reader>
    Given a server whose answers to "<reader>" stop
    Then at each place and ending the answer counts as "<outcome>", and a whole one does not

    Examples: engines
      | reader           | outcome    |
      | order taken      | unanswered |
      | order refused    | unanswered |
      | report           | none       |
      | is answering     | none       |

    Examples: the platform's store
      | reader           | outcome     |
      | store read       | unavailable |
      | store absent key | unavailable |
      | store range      | unavailable |
      | store watch      | unavailable |
      | store transact   | answer lost |
      | store grant      | answer lost |
      | store renew      | answer lost |
      | store revoke     | answer lost |

    Examples: the project's own engines
      | reader           | outcome |
      | own report       | none    |
      | own watch report | none    |
      | own cache events | none    |
      | own order taken  | none    |
      | own order fenced | none    |
      | own attempt      | broken  |
      | own resume       | broken  |

    Examples: the project's own store and peers
      | reader           | outcome     |
      | own get          | unavailable |
      | own watch        | unavailable |
      | own machines     | unavailable |
      | own swap         | answer lost |
      | own session      | answer lost |
      | own renewal      | answer lost |
      | own acquire      | answer lost |
      | own snapshot     | no peer     |
      | own head         | no peer     |
      | own status       | no peer     |
      | own claim        | no peer     |
      | own prefixes     | no peer     |
      | own section      | no peer     |
      | operator status  | no answer   |

  Scenario Outline: A head without a length, after which the connection ends, counts as an answer: <reader>
    Given a server whose answers to "<reader>" are heads alone
    Then the answer counts as "<outcome>"

    Examples:
      | reader           | outcome     |
      | report           | none        |
      | is answering     | none        |
      | store read       | unavailable |
      | store range      | unavailable |
      | store watch      | unavailable |
      | store transact   | answer lost |
      | store grant      | answer lost |
      | own report       | none        |
      | own watch report | none        |
      | own cache events | none        |
      | own attempt      | broken      |
      | own resume       | broken      |
      | own get          | unavailable |
      | own watch        | unavailable |
      | own machines     | unavailable |
      | own swap         | answer lost |
      | own session      | answer lost |
      | own acquire      | answer lost |
      | own snapshot     | no peer     |
      | own head         | no peer     |
      | own status       | no peer     |
      | own claim        | no peer     |
      | own prefixes     | no peer     |
      | own section      | no peer     |
      | operator status  | no answer   |

  Scenario: A followed reader of the store stops at any byte of its answer
    Given a reader of the store that stops at each byte of its answer
    Then its follower is told of no change unless the whole message arrived
