Feature: Engines are brought to the weights that the operator named, by one node at a time

  Scenario: An older version serves until the grace of a newer one has passed
    Given versions 2 at second 10 and 3 at second 14 are named, with 7 s of grace
    Then at second 16.9 a request may begin on version 1
    And at second 17.1 a request may begin on version 2
    And at second 17.1 a request may not begin on version 1
    And at second 21.1 a request may not begin on version 2

  Scenario: A node that starts uses no weights that others have left behind
    Given engines with versions 1, 3 and 3, and a node that finds version 4 named when it starts
    Then its requests go to engines with version 3 only
    When the engine with version 1 is the only one left
    Then its requests go to engines with version 1 only

  Scenario: Few engines load at once, each is ordered once, and all reach the version
    Given 6 engines with version 1
    When version 2 is named and engines take 0.7 s to load
    Then every engine has version 2 within 7 s
    And each engine was ordered 1 time
    And at most 2 engines loaded at once

  Scenario: In a large fleet two fifths of the engines load at once
    Given 45 engines with version 1
    When version 2 is named and engines take 0.7 s to load
    Then every engine has version 2 within 4.5 s
    And each engine was ordered 1 time
    And at most 18 engines loaded at once

  Scenario: More engines load at once where time is short
    Given 40 engines with version 1
    When version 2 is named and engines take 0.7 s to load
    Then every engine has version 2 within 7 s
    And each engine was ordered 1 time

  Scenario: A version named while another is loaded is reached by the same loads where it can be
    Given 6 engines with version 1
    When version 2 is named and engines take 0.7 s to load
    And version 3 is named after 1 s
    Then every engine has version 3 within 9 s
    And each engine was ordered at most 2 times

  Scenario: A late engine of one version does not hurry the engines of the next
    Given 9 engines with version 1
    When version 2 is named and engines take 0.7 s to load
    And engine 9 takes no order before 4.4 s
    And version 3 is named after 4 s
    Then every engine has version 3 within 12 s
    And at most 4 engines loaded at once

  Scenario: An order waits until what waits at its engine has begun, but not for ever
    Given 2 engines with version 1
    And 5000 tokens wait at engine 1 until 1 s, and at engine 2 for ever
    When version 2 is named and engines take 0.7 s to load
    Then engine 1 is ordered between 1 s and 1.3 s and engine 2 between 1.6 s and 1.8 s

  Scenario: An engine that restarts with its old weights is ordered again
    Given 6 engines with version 1
    When version 2 is named and engines take 0.7 s to load
    And engine 1 restarts with version 1 after 4 s
    Then every engine has version 2 within 9 s

  Scenario: An order that nobody answered is given again under the same condition
    Given 3 engines with version 1
    When version 2 is named and engines take 0.7 s to load
    And the first order to engine 1 is lost
    Then every engine has version 2 within 9 s

  Scenario: A leader of a healthy store leads at once and its fence is the revision of its key
    Given a store and 2 contenders
    When both contend
    Then exactly one leads, with the revision of the leader's key as its fence

  Scenario: The first leader of a fleet may give orders though the store counts each item it wrote
    Given a store and 2 contenders
    And the store is in era 1, and counts each item of a transaction as a change
    When both contend
    Then exactly one leads, with the revision of the leader's key as its fence
    And the leader can write that it gives orders

  Scenario: A leader that cannot write leaves its key to another one at once
    Given a store and 2 contenders
    When both contend
    And the leader finds that it cannot write
    Then the other one leads within 1 s

  Scenario: A leader that hears of the store's return before it has read the copy leads on
    Given a store and 2 contenders
    When both contend
    And the leader is no candidate any more, as more nodes have joined
    And the store comes back from an older copy, which both hear before they read it
    Then the same one leads again within 0.3 s, and may give orders at once

  Scenario: A frozen leader gives no order after its belief ends
    Given a store and 2 contenders
    When both contend
    And the leader is frozen for 4 s
    Then the frozen leader may give no order
    And the other one leads with a higher fence

  Scenario: The successor of a busy leader waits until its orders are long past
    Given a store and 2 contenders
    When both contend
    And the leader gives orders and is killed
    Then the other one leads, and gives no order for 3 s

  Scenario: The successor of an idle leader does not wait
    Given a store and 2 contenders
    When both contend
    And the idle leader is killed
    Then the other one leads, and may give orders at once

  Scenario: A leader that lost its key cannot become active
    Given a store and 2 contenders
    When both contend
    And the store drops the leader's lease
    Then the leader cannot write that it gives orders

  Scenario: A lost answer to taking the lease does not make two leaders
    Given a store and 2 contenders
    And the store loses the answer to the first write of a key
    When both contend for a while
    Then exactly one leads, with the revision of the leader's key as its fence

  Scenario: Nodes that are no candidates leave the key to the others, and stand in for them
    Given a store and 2 contenders
    And the second one is no candidate
    When both contend
    Then the first one leads
    When the idle leader is killed
    Then the other one leads, and may give orders at once

  Scenario: A leader that is about to end hands over, and contends no more while it drains
    Given a store and 2 contenders
    When both contend
    And the leader retires, and the other one is frozen
    Then nobody leads for 5 s

  Scenario: A leader whose every second renewal goes unanswered leads on
    Given a store and 2 contenders
    And the store loses the answer to every second renewal
    When both contend
    Then the same one leads for 8 s

  Scenario: A leader whose renewals went unanswered for too long takes its lease up again, once
    Given a store and 2 contenders
    When both contend
    And the store loses the answers to all renewals for 1.9 s
    Then the same one leads again, with the same fence, after one loss

  Scenario: A lost answer to the word that orders are given costs no term
    Given a store and 2 contenders
    When both contend
    And the store loses the answer to the leader's word that it gives orders
    Then the leader may give orders, and the word in the store is its own

  Scenario: A successor that takes its lease up again waits no less for the last orders
    Given a store and 2 contenders
    When both contend
    And the leader gives orders and is killed
    And the other one leads and says so, and then hears no answer to its renewals for 1.9 s
    Then the other one gives no order for 3 s after the killed one's last
