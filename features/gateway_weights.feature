Feature: One leader at a time orders engines to load the weight versions that the operator published

  Scenario: An older version may be used until the grace period of a newer one has passed
    Given versions 2 at second 10 and 3 at second 14 are published, with a grace period of 7 s
    Then at second 16.9 a request may begin on version 1
    And at second 17.1 a request may begin on version 2
    And at second 17.1 a request may not begin on version 1
    And at second 21.1 a request may not begin on version 2

  Scenario: A starting node uses no weights that other nodes no longer use
    Given engines with versions 1, 3 and 3, and a node that finds version 4 published when it starts
    Then its requests go to engines with version 3 only
    When the engine with version 1 is the only one left
    Then its requests go to engines with version 1 only

  Scenario: A node that has started uses replaced weights for as long as no engine has newer ones
    Given engines with versions 1, 3 and 3, and a node that finds version 4 published when it starts
    Then its requests go to engines with version 3 only
    When the grace period has passed since it started
    Then its requests go to no engine

  Scenario: Few engines load at once, each is ordered once, and all reach the version
    Given 6 engines with version 1
    When version 2 is published and engines take 0.7 s to load
    Then every engine has version 2 within 7 s
    And each engine was ordered 1 time
    And at most 2 engines loaded at once

  Scenario: In a large fleet two fifths of the engines load at once
    Given 45 engines with version 1
    When version 2 is published and engines take 0.7 s to load
    Then every engine has version 2 within 4.5 s
    And each engine was ordered 1 time
    And at most 18 engines loaded at once

  Scenario: More engines load at once when time is short
    Given 40 engines with version 1
    When version 2 is published and engines take 0.7 s to load
    Then every engine has version 2 within 7 s
    And each engine was ordered 1 time

  Scenario: A version published while another is loaded is reached by the same loads where possible
    Given 6 engines with version 1
    When version 2 is published and engines take 0.7 s to load
    And version 3 is published after 1 s
    Then every engine has version 3 within 9 s
    And each engine was ordered at most 2 times

  Scenario: An engine that is late for one version does not speed up the loads of the next
    Given 9 engines with version 1
    When version 2 is published and engines take 0.7 s to load
    And engine 9 refuses orders before 4.4 s
    And version 3 is published after 4 s
    Then every engine has version 3 within 12 s
    And at most 4 engines loaded at once

  Scenario: An order waits until the requests waiting at its engine have begun, but only for a limited time
    Given 2 engines with version 1
    And 5000 tokens wait at engine 1 until 1 s, and at engine 2 without end
    When version 2 is published and engines take 0.7 s to load
    Then engine 1 is ordered between 1 s and 1.3 s and engine 2 between 1.6 s and 1.8 s

  Scenario: An engine that restarts with its old weights is ordered again
    Given 6 engines with version 1
    When version 2 is published and engines take 0.7 s to load
    And engine 1 restarts with version 1 after 4 s
    Then every engine has version 2 within 9 s

  Scenario: An unanswered order is given again under the same condition
    Given 3 engines with version 1
    When version 2 is published and engines take 0.7 s to load
    And the first order to engine 1 is lost
    Then every engine has version 2 within 9 s

  Scenario: With a healthy store a node leads at once, and its fence is the revision of the leader's key
    Given a store and 2 contenders
    When both contend
    Then exactly one leads, with the revision of the leader's key as its fence

  Scenario: The first leader may give orders though the store gives each written item its own revision
    Given a store and 2 contenders
    And the store is in era 1, and gives each item of a transaction its own revision
    When both contend
    Then exactly one leads, with the revision of the leader's key as its fence
    And the leader can mark itself active

  Scenario: A leader that cannot write resigns, and another one takes over at once
    Given a store and 2 contenders
    When both contend
    And the leader resigns because it cannot write
    Then the other one leads within 1 s

  Scenario: A leader that learns of a restored store before it has read it continues to lead
    Given a store and 2 contenders
    When both contend
    And the leader is no candidate any more, as more nodes have joined
    And the store is restored from an older copy, and both learn of it before they read it
    Then the same one leads again within 0.3 s, and may give orders at once

  Scenario: A frozen leader gives no order after its lease has expired
    Given a store and 2 contenders
    When both contend
    And the leader is frozen for 4 s
    Then the frozen leader may give no order
    And the other one leads with a higher fence

  Scenario: The successor of an active leader waits until the leader's orders are long past
    Given a store and 2 contenders
    When both contend
    And the leader gives orders and is killed
    Then the other one leads, and gives no order for 3 s

  Scenario: The successor of an idle leader does not wait
    Given a store and 2 contenders
    When both contend
    And the idle leader is killed
    Then the other one leads, and may give orders at once

  Scenario: The successor of a leader that resigned before its first order does not wait
    Given a store and 2 contenders
    When both contend
    And the leader marks itself active, and resigns
    Then the other one leads, and may give orders at once

  Scenario: The successor of a leader that resigned after its orders waits
    Given a store and 2 contenders
    When both contend
    And the leader marks itself active, gives orders and resigns
    Then the other one leads, and gives no order for 3.3 s after these

  Scenario: A leader that resigns before it may order leaves the rest of the wait to its successor
    Given a store and 2 contenders
    When both contend
    And the leader marks itself active, gives orders and resigns
    And the other one leads and marks itself active, and resigns
    Then the first one leads again, and gives no order for 3.3 s after these

  Scenario: A leader that has nothing to order before it may order leaves the rest of the wait
    Given a store and 2 contenders
    When both contend
    And the leader marks itself active, gives orders and resigns
    And the other one leads and marks itself active, has nothing to order, and resigns
    Then the first one leads again, and gives no order for 3.3 s after these

  Scenario: A leader that resigns after a restart leaves a wait for the orders before the restart
    Given a store and 2 contenders
    When both contend
    And the leader gives orders, restarts, leads again, marks itself active and resigns
    Then the other one leads, and gives no order for 3.3 s after these

  Scenario: A leader that lost its key cannot become active
    Given a store and 2 contenders
    When both contend
    And the store drops the leader's lease
    Then the leader cannot mark itself active

  Scenario: A lost answer to the acquisition of the lease does not result in two leaders
    Given a store and 2 contenders
    And the store loses the answer to the first write of a key
    When both contend for a while
    Then exactly one leads, with the revision of the leader's key as its fence

  Scenario: A node that is no candidate leaves the key to the others, and takes over when they fail
    Given a store and 2 contenders
    And the second one is no candidate
    When both contend
    Then the first one leads
    When the idle leader is killed
    Then the other one leads, and may give orders at once

  Scenario: A leader that retires resigns, and does not contend while it drains
    Given a store and 2 contenders
    When both contend
    And the leader retires, and the other one is frozen
    Then no node leads for 5 s

  Scenario: A leader that gets no answer to every second renewal continues to lead
    Given a store and 2 contenders
    And the store loses the answer to every second renewal
    When both contend
    Then the same one leads for 8 s

  Scenario: A leader whose renewals went unanswered for too long resumes its lease, once
    Given a store and 2 contenders
    When both contend
    And the store loses the answers to all renewals for 1.9 s
    Then the same one leads again, with the same fence, after one loss

  Scenario: A lost answer to the write of the activity record does not end the term
    Given a store and 2 contenders
    When both contend
    And the store loses the answer to the leader's write of its activity record
    Then the leader may give orders, and the activity record in the store is its own

  Scenario: A successor that resumes its lease waits no less after its predecessor's last orders
    Given a store and 2 contenders
    When both contend
    And the leader gives orders and is killed
    And the other one leads and marks itself active, and then its renewals go unanswered for 1.9 s
    Then the other one gives no order for 3 s after the killed one's last
