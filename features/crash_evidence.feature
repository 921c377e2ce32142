Feature: What tells a request under which engines end from those that ran there by accident

  Scenario Outline: <what> <judged>
    Given these ends: <ends>
    Then the request "a" is <judged>

    # worker@second:requests, where a capital letter had hardly begun to be answered
    Examples:
      | what                                                 | ends                               | judged        |
      | One end under it                                     | 1@0:Abc                            | not condemned |
      | Two apart, each soon after it was sent               | 1@0:Abc 2@2:Ade                    | condemned     |
      | Two, after it had run for a while                    | 1@0:abc 2@2:ade                    | not condemned |
      | Four, after it had run for a while                   | 1@0:abc 2@2:ade 3@4:af 4@6:a       | not condemned |
      | Five, after it had run for a while                   | 1@0:abc 2@2:ade 3@4:af 4@6:a 5@7:a | condemned     |
      | Two workers that end at one moment                   | 1@0:Ab 2@0.1:Ac                    | not condemned |
      | Three that end at one moment, copies on each of them | 1@0:A 2@0.1:A 3@0.1:A              | condemned     |
      | The same, and a worker that ended without it         | 1@0:A 2@0.1:A 3@0.1:A 4@0.1:b      | not condemned |
      | Two, and a worker that ended between without it      | 1@0:A 2@1:b 3@2:A                  | not condemned |
      | Three, and a worker that ended between without it    | 1@0:A 2@1:b 3@2:A 4@4:A            | condemned     |
      | Two, and a worker that ended long before             | 1@0:b 2@12:A 3@14:A                | condemned     |
      | Two that another request met as well                 | 1@0:AB 2@2:AB                      | not condemned |
      | Two that another one met that had run for a while    | 1@0:Ab 2@2:AB                      | condemned     |
      | Three that another request met as well               | 1@0:AB 2@2:AB 3@4:AB               | not condemned |
      | Four that another request met as well                | 1@0:AB 2@2:AB 3@4:AB 4@6:AB        | condemned     |
      | Three, one of them with another request twice        | 1@0:AB 2@2:AB 3@4:A                | condemned     |
      | Five after a while, and one that ended without it    | 1@0:a 2@1:b 3@2:a 4@4:a 5@6:a 6@7:a | not condemned |
      | Two with it served between                           | 1@0:A a+1 2@2:A                    | not condemned |
      | Two, where another condemned request ended the rest  | 1@0:B 2@1:B b! 3@2:A 4@4:A         | condemned     |
      | Two that a condemned request brought about           | 1@0:AB 2@1:B 3@2:AB 4@4:B b!       | not condemned |
      | Two, beside a run of it that had gone on there       | 1@0:Aa 2@2:A                       | not condemned |

  Scenario: The order in which nodes hear of runs, and how often, changes no judgement
    Then 200 random histories are judged alike in any order and when told twice

  Scenario: What is known of requests is bounded and forgotten
    When 5000 requests were lost with engines, one each
    Then no more than 4096 are remembered, and none 601 s later

  Scenario: A fleet in virtual time loses few workers to a request, and condemns no other
    When a request that ends workers comes back every second for 60 s, 100 times
    Then it ends 2 workers, 3 at the most, and no other request is condemned

  Scenario: A fleet whose workers crash all the time condemns nobody
    When a third of the workers crashes every 1 to 4 s for 300 s, 20 times
    Then at most 1 in 50,000 requests is condemned
