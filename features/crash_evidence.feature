Feature: Evidence that a request crashes engines

  Scenario Outline: <what>: <verdict>
    Given these crashes: <crashes>
    Then the request "a" is <verdict>

    # A crash is worker@second:requests that ran there; a capital letter marks a run lost early.
    # a+1: request a was served at second 1. b!: the crashes under b are explained by b.
    Examples:
      | what                                                 | crashes                             | verdict         |
      | One crash under it                                   | 1@0:Abc                             | not quarantined |
      | Two apart, each soon after it was sent               | 1@0:Abc 2@2:Ade                     | quarantined     |
      | Two, after it had run for a while                    | 1@0:abc 2@2:ade                     | not quarantined |
      | Four, after it had run for a while                   | 1@0:abc 2@2:ade 3@4:af 4@6:a        | not quarantined |
      | Five, after it had run for a while                   | 1@0:abc 2@2:ade 3@4:af 4@6:a 5@7:a  | quarantined     |
      | Two workers that crash together                      | 1@0:Ab 2@0.1:Ac                     | not quarantined |
      | Three that crash together, a copy on each            | 1@0:A 2@0.1:A 3@0.1:A               | quarantined     |
      | The same, and a worker that crashed without it       | 1@0:A 2@0.1:A 3@0.1:A 4@0.1:b       | not quarantined |
      | Two, and a crash between them without it             | 1@0:A 2@1:b 3@2:A                   | not quarantined |
      | Three, and a crash between them without it           | 1@0:A 2@1:b 3@2:A 4@4:A             | quarantined     |
      | Two, and a crash without it long before              | 1@0:b 2@12:A 3@14:A                 | quarantined     |
      | Two shared with another request                      | 1@0:AB 2@2:AB                       | not quarantined |
      | Two, one with a request that had run for a while     | 1@0:Ab 2@2:AB                       | quarantined     |
      | Three shared with another request                    | 1@0:AB 2@2:AB 3@4:AB                | not quarantined |
      | Four shared with another request                     | 1@0:AB 2@2:AB 3@4:AB 4@6:AB         | quarantined     |
      | Three, two of them shared with another request       | 1@0:AB 2@2:AB 3@4:A                 | quarantined     |
      | Five after a while, and a crash without it           | 1@0:a 2@1:b 3@2:a 4@4:a 5@6:a 6@7:a | not quarantined |
      | Two, with the request served between them            | 1@0:A a+1 2@2:A                     | not quarantined |
      | Two, where a quarantined request explains the others | 1@0:B 2@1:B b! 3@2:A 4@4:A          | quarantined     |
      | Two that a quarantined request explains              | 1@0:AB 2@1:B 3@2:AB 4@4:B b!        | not quarantined |
      | Two, one with an older run of it there as well       | 1@0:Aa 2@2:A                        | not quarantined |

  Scenario: The order and repetition of reports change no verdict
    Then 200 random histories get the same verdict in any order and with repetitions

  Scenario: The evidence is bounded and expires
    When 5000 requests were lost, each with another engine
    Then no more than 4096 are remembered, and none 601 s later

  Scenario: A fleet loses few workers to a request and quarantines no other (virtual time)
    When a request that crashes workers is repeated every second for 60 s, 100 times
    Then it crashes 2 workers, 3 at the most, and no other request is quarantined

  Scenario: A fleet whose workers crash all the time quarantines almost no request
    When a third of the workers crashes every 1 to 4 s for 300 s, 20 times
    Then at most 1 in 50,000 requests is quarantined

  Scenario: A fleet loses few workers to a part of prompts and quarantines nothing else
    When requests with a part that crashes workers are sent every second for 60 s, 100 times
    Then it crashes 2 workers, 3 at the most, and nothing but the part is quarantined

  Scenario: A fleet whose workers crash all the time quarantines no part of prompts
    When a third of the workers crashes every 1 to 4 s for 300 s beside prompts with parts, 12 times
    Then no part of prompts is quarantined
