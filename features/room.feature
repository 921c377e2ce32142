Feature: Overload: admission, order of the queue, and retries of refused callers

  # Order of the queue

  Scenario: Order by urgency, retry status and latest start
    Given a queue with, in order of arrival
      | name    | urgency | tenant | tokens | latest | retry_status |
      | early   | 1       | a      | 100    | 2.0    | came_early   |
      | plain   | 1       | a      | 100    | 2.0    | new          |
      | pressed | 1       | a      | 100    | 1.0    | new          |
      | back    | 1       | b      | 100    | 3.0    | came_back    |
      | urgent  | 0       | b      | 100    | 3.0    | new          |
    Then they are woken in the order urgent, back, pressed, plain, early

  Scenario: Tenants get equal shares of tokens, however many of their requests wait
    Given a queue with 40 requests of 1000 tokens of tenant large and 5 of tenant small
    Then 5 of the first 10 woken requests are of small

  Scenario: Less urgent requests are a ninth of the woken ones, however many urgent ones wait
    Given a queue with 40 urgent requests and 5 others
    Then 4 of the first 36 woken requests are of the others

  Scenario: Freed capacity wakes one request, in order, and none is lost, in any history
    Then this holds in 200 random histories

  Scenario: New requests overtake only those that found no capacity
    Given a queue with a request of urgency 1 that found no capacity
    Then a new request may try
    When capacity becomes free
    Then a new request of urgency 1 must wait, and one of urgency 0 need not
    When the woken request finds no capacity
    Then a new request may try

  Scenario: A read prompt part wakes all requests that wait for it
    Given a queue in which 3 requests wait for a part to be read, and 2 for capacity
    When the part is read, and all of the 3 find it
    Then the 3 were woken one after the other, without another event

  # In the gateway

  Scenario Outline: Freed capacity wakes one request, whatever the woken request does
    Given 4 requests that wait for capacity at a full engine
    When capacity becomes free, and the first <action>
    Then <sent> of them is sent, and the others are refused when their wait ends

    Examples:
      | action                   | sent |
      | takes it                 | 1    |
      | is cancelled when woken  | 1    |
      | is refused by the engine | 1    |

  Scenario: Waiting requests try again without a signal that capacity is free
    Given 4 requests that wait for capacity at a full engine
    When the engine gets capacity, without a signal
    Then 4 of them are sent within 0.08 s

  Scenario: Waiting requests keep their urgency when a configuration changes urgencies
    Given 4 requests that wait for capacity at a full engine
    When a configuration makes all new requests more urgent, and one arrives
    And capacity becomes free
    Then the one that arrived last is sent

  Scenario: After a suspension of the machine, requests that waited too long are refused
    Given 4 requests that wait for capacity at a full engine
    When the machine is suspended for 30 s
    Then all of them are refused, and none waits

  Scenario: A request that would be woken too late is refused on arrival
    Given a queue of 20 requests that is drained at 20 a second
    Then one more that may wait for 0.5 s is refused at once, and logged
    And one that is more urgent waits

  # Capacity

  Scenario Outline: The longest accepted wait in a short burst follows the target
    Then with a target of <target> s, engine waits of up to <wait> s are accepted

    Examples:
      | target | wait  |
      | 0.25   | 0.625 |
      | 0.4    | 1.0   |
      | 0.6    | 1.5   |
      | 0.8    | 1.5   |

  Scenario: A tight target does not exclude urgent requests where less urgent ones are accepted
    Given a service whose urgent requests have a target of 0.25 s, and others of 0.8 s
    Then in a short burst both accept waits of up to 1.5 s
    When it has a standing queue
    Then the urgent accept waits of up to 0.64 s, and others of up to 0.4 s

  Scenario: Only requests as urgent delay the urgent
    Given a service whose urgent requests have a target of 0.25 s, and others of 0.8 s
    And a fifth of the tokens that are sent is urgent
    When it has a standing queue
    Then the urgent accept waits of up to 0.64 s, and others of up to 0.4 s
    When a tenth of the tokens that are sent is urgent
    Then the urgent accept waits of up to 1.25 s, and others of up to 0.4 s

  Scenario: Memory is reserved for urgent requests, where there are any
    Given an engine of 90000 tokens of which running requests have 85000
    Then a request of 10000 tokens fits, of whatever urgency
    When a more urgent request was seen
    Then a request of 10000 tokens does not fit, but the more urgent one does

  Scenario: Read speeds are not learned from requests that overtake others
    Given a service with requests of two urgencies
    When an urgent one is answered 0.01 s after 40000 tokens were waiting
    Then the estimated read speed stays the same
    When one of the others is answered 0.4 s after 40000 tokens were waiting
    Then the estimated read speed grows

  # Retries of refused callers

  Scenario: Retry times of refused callers are spread, and lie within their patience
    Given a node that sends 20 requests a second
    When 10 callers with 3 s of patience are refused at once
    Then their retry times are spread over 0.5 s, in order, and none is before 0.3 s
    When 100 callers with 3 s of patience are refused at once
    Then no retry time is later than 3 s

  Scenario: Callers without capacity in time get different retry times
    When 100 callers with 1 s of patience are refused at once, and there is capacity after 2 s
    Then their retry times are 2 s or more and all different

  Scenario: A caller that retries when told goes first, once; one that retries early goes last
    Given a caller that was told to retry in 0.5 s
    Then after 0.02 s its retry status is came early
    And after 0.5 s its retry status is came back
    And after 0.52 s its retry status is new

  Scenario: A caller that retries at once keeps its first retry time
    Given a caller that was told to retry in 0.5 s
    When it retries after 0.1 s and is told to retry in 0.5 s
    Then after 0.5 s its retry status is came back

  Scenario: A caller that retried when told keeps its rank while it finds no capacity
    Given a caller that was told to retry in 0.5 s
    When it is queued from 0.5 s on, and woken twice without capacity
    Then it still goes before new requests

  Scenario: No more than 1024 refused callers are remembered
    When 5000 callers are refused
    Then 1024 of them are remembered

  # Simulations

  Scenario Outline: Goodput holds under overload and recovers within 3 s
    Given 3 nodes, 4 engines, and callers with a target of <target> s
    When the load is <load> times the read capacity for 6 s, and 0.5 times before and after
    Then the goodput in this time was at least <good> of the read capacity
    And at least 0.95 of the urgent requests were answered in time
    And from 3 s later on at least 0.98 of the requests were answered in time
    And no urgency and no tenant was served at less than a quarter of the overall rate

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

  # Guards against a second refusal of callers that retry when told. Seven of 329 callers retried when
  # the queue should have been short enough (0.31 to 0.59 s later), and were refused again because new
  # callers had joined it. The shortest engine wait was then 0.3 s, and no engine lacked memory.
  Scenario: A short burst is served with targets of 0.6 s, late if necessary
    Given 3 nodes, 4 engines, and callers with a target of 0.6 s
    When the load is 3 times the read capacity for 0.4 s, and 0.5 times before and after
    Then at least 0.98 of all were served

  Scenario: A tenant at 7.5 times its usual load does not displace the others
    Given 3 nodes, 4 engines, and callers with a target of 0.4 s
    When one of 8 tenants has 7.5 times its usual load for 6 s
    Then the others were served at least as often as that one

  Scenario: Callers that retry at once are not served more often
    Given 3 nodes, 4 engines, and callers with a target of 0.4 s
    When the load is 1.5 times the read capacity, a third of it from callers that retry at once
    Then the others were served at 0.75 or more of the overall rate
