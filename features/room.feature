Feature: Too little room: who is admitted, who waits in which order, who comes back when

  # The order

  Scenario: Who goes first
    Given a line in which wait, in this order
      | name    | urgency | tenant | tokens | latest | standing   |
      | early   | 1       | a      | 100    | 2.0    | came_early |
      | plain   | 1       | a      | 100    | 2.0    | new        |
      | pressed | 1       | a      | 100    | 1.0    | new        |
      | back    | 1       | b      | 100    | 3.0    | came_back  |
      | urgent  | 0       | b      | 100    | 3.0    | new        |
    Then places go to urgent, back, pressed, plain, early

  Scenario: Tenants take turns by tokens, however many of their requests wait
    Given a line with 40 requests of 1000 tokens of tenant large and 5 of tenant small
    Then of the first 10 places 5 go to small

  Scenario: Less urgent requests get a ninth of the places whatever the urgent ask for
    Given a line with 40 urgent requests and 5 others
    Then of the first 36 places 4 go to the others

  Scenario: Whatever happens, each place wakes one, in order, and nobody is lost
    Then it is so in 200 histories drawn at random

  Scenario: Those that arrive do not overtake, but for those that found nothing
    Given a line with a request of urgency 1 that found nothing
    Then one that arrives may try
    When a place comes free
    Then one of urgency 1 that arrives must wait, and one of urgency 0 need not
    When the request that was asked finds nothing
    Then one that arrives may try

  Scenario: What several requests wait to be read goes to all of them at once
    Given a line in which 3 requests wait for a part to be read, and 2 for room
    When the part was read, and all of the 3 find it
    Then the 3 were asked one after the other, without any other sign

  # In the gateway

  Scenario Outline: A place that comes free wakes one, whatever becomes of who is woken
    Given 4 requests that wait for room at a full engine
    When a place comes free, and the first <does>
    Then <sent> of them is sent, and the others are refused when their wait is over

    Examples:
      | does                        | sent |
      | takes it                    | 1    |
      | leaves as it is woken       | 1    |
      | is refused by the engine    | 1    |

  Scenario: What engines refused for passes without a signal
    Given 4 requests that wait for room at a full engine
    When the engine has room, and nobody says so
    Then 4 of them are sent within 0.08 s

  Scenario: Who waits keeps its place when a configuration changes urgencies
    Given 4 requests that wait for room at a full engine
    When a configuration makes all new requests more urgent, and one arrives
    And a place comes free
    Then the one that arrived last is sent

  Scenario: A machine that slept ends what waited too long
    Given 4 requests that wait for room at a full engine
    When the machine sleeps for 30 s
    Then all of them are refused, and nobody waits

  Scenario: A request whose turn would come too late is refused on arrival
    Given a line that 20 places a second come free for, and 20 requests that wait
    Then one more that may wait for 0.5 s is refused at once, with a line in the log
    And one that is more urgent waits

  # Room

  Scenario Outline: The longest wait in a short burst follows the target
    Then with a target of <target> s a wait of up to <wait> s is sent into

    Examples:
      | target | wait  |
      | 0.25   | 0.625 |
      | 0.4    | 1.0   |
      | 0.6    | 1.5   |
      | 0.8    | 1.5   |

  Scenario: A tight target does not keep the urgent out where the less urgent are let in
    Given a service whose urgent requests have a target of 0.25 s, and others of 0.8 s
    Then in a short burst both may be sent into waits of up to 1.5 s
    When its queue stands
    Then the urgent may be sent into waits of up to 0.64 s, and others of up to 0.4 s

  Scenario: Only what is as urgent delays the urgent
    Given a service whose urgent requests have a target of 0.25 s, and others of 0.8 s
    And of the tokens that are sent a fifth is urgent
    When its queue stands
    Then the urgent may be sent into waits of up to 0.64 s, and others of up to 0.4 s
    When a tenth of the tokens that are sent is urgent
    Then the urgent may be sent into waits of up to 1.25 s, and others of up to 0.4 s

  Scenario: Memory is left to the urgent, where there are any
    Given an engine of 90000 tokens of which running requests have 85000
    Then a request of 10000 tokens fits, of whatever urgency
    When a more urgent request was seen
    Then a request of 10000 tokens does not fit, but the more urgent one does

  Scenario: How fast engines read is not learned from those that overtake
    Given a service with requests of two urgencies
    When an urgent one is answered 0.01 s after 40000 tokens were waiting
    Then engines are not taken to read faster
    When one of the others is answered 0.4 s after 40000 tokens were waiting
    Then engines are taken to read faster

  # Coming back

  Scenario: Refused callers come back one after the other, and within their patience
    Given a node that sends 20 requests a second
    When 10 callers with 3 s of patience are refused at once
    Then they are told to come back over 0.5 s, in order, and none before 0.3 s
    When 100 callers with 3 s of patience are refused at once
    Then none is told to come back later than 3 s

  Scenario: Callers for whom there is no room in time are not told to come back together
    When 100 callers with 1 s of patience are refused at once, and there is room after 2 s
    Then they are told times of 2 s or more that are all different

  Scenario: Who comes back as told goes first, once; who comes early goes last
    Given a caller that was told to come back in 0.5 s
    Then after 0.02 s it counts as came early
    And after 0.5 s it counts as came back
    And after 0.52 s it counts as new

  Scenario: Who repeats at once keeps the time that it was told first
    Given a caller that was told to come back in 0.5 s
    When it comes after 0.1 s and is told to come back in 0.5 s
    Then after 0.5 s it counts as came back

  Scenario: Who came back as told keeps its rank while it is asked in vain
    Given a caller that was told to come back in 0.5 s
    When it waits in line from 0.5 s on, and is asked twice in vain
    Then it still goes before new ones

  Scenario: No more than 1024 refused callers are remembered
    When 5000 callers are refused
    Then 1024 of them are remembered

  # Replays

  Scenario Outline: Goodput stays level, and all is well within 3 s
    Given 3 nodes before 4 engines, and callers with a target of <target> s
    When <load> times what engines can read is asked for during 6 s, and 0.5 times around it
    Then <good> of it at least was answered in time meanwhile
    And of the urgent requests 0.95 were answered in time at least
    And of what came 3 s later 0.98 were answered in time at least
    And no kind and no tenant was served at under a quarter of the rate of all

    Examples:
      | target | load | good |
      | 0.25   | 0.8  | 0.75 |
      | 0.25   | 2    | 0.45 |
      | 0.4    | 0.8  | 0.8  |
      | 0.4    | 1.2  | 0.75 |
      | 0.4    | 2    | 0.55 |
      | 0.4    | 3    | 0.5  |
      | 0.6    | 1.2  | 0.75 |
      | 0.6    | 2    | 0.6  |

  # Seven of 329 callers were refused twice: told to come back when the queue that they had met was
  # short enough to join again (0.31 to 0.59 s), they found it as long as before, since callers that
  # had come meanwhile had joined it. At the second refusal the shortest wait was 0.3 s, and no
  # engine lacked memory for them.
  Scenario: A short burst is served, with targets of 0.6 s, late if need be
    Given 3 nodes before 4 engines, and callers with a target of 0.6 s
    When 3 times what engines can read is asked for during 0.4 s, and 0.5 times around it
    Then 0.98 of all were served at least

  Scenario: A tenant at 7.5 times its usual does not displace the others
    Given 3 nodes before 4 engines, and callers with a target of 0.4 s
    When one of 8 tenants asks for 7.5 times its usual during 6 s
    Then the others were served at least as often as that one

  Scenario: Who repeats at once is not served more often for it
    Given 3 nodes before 4 engines, and callers with a target of 0.4 s
    When 1.5 times what engines can read is asked for, a third of it by callers who repeat at once
    Then the others were served at 0.75 of the rate of all at least
