Feature: The part of a response that arrived is not taken for the whole

  Scenario Outline: The end of a response is looked for where nothing marks it: <headers>
    Given a server that answers with the headers <headers>, and closes the connection
    Then the end of its response is marked by "<framing>"

    Examples:
      | headers                                                | framing    |
      | none                                                   | connection |
      | Content-Length: 0                                      | length     |
      | Transfer-Encoding: chunked                             | chunks     |
      | Transfer-Encoding: Chunked                             | chunks     |
      | Transfer-Encoding: gzip, Chunked                       | nothing    |
      | Transfer-Encoding: chunked, gzip                       | nothing    |
      | Transfer-Encoding: xchunked                            | nothing    |
      | Transfer-Encoding: chunked and Transfer-Encoding: gzip | nothing    |

  Scenario Outline: An answer of the store that ends after its head is taken for an empty one: <call>
    Given a server that answers with the headers none, and closes the connection
    Then as the store, its answer to "<call>" counts as <outcome>

    Examples:
      | call        | outcome     |
      | read        | unavailable |
      | read_range  | unavailable |
      | watch       | unavailable |
      | transact    | answer lost |
      | grant_lease | answer lost |
      | renew_lease | complete    |
