Feature: Rejected calls to a controller get a reason and change nothing

  Scenario: Invalid configurations are rejected with the field and the value
    Given the configuration register holds r3
    When the operator puts configurations with these changes
      | case                  | change                                                       |
      | truncated body        |                                                              |
      | unknown service       | RouteList.Records.0.8="nobody"                               |
      | unknown route type    | RouteList.Records.0.3="sometimes"                            |
      | too long timeout      | RouteList.Records.0.4=601                                    |
      | zero timeout          | RouteList.Records.0.4=0                                      |
      | duplicate prefix      | RouteList.Records.1.2="/look/"                               |
      | zero attempts         | RouteList.Records.0.7=0                                      |
      | no leading slash      | RouteList.Records.0.2="look/"                                |
      | no trailing slash     | RouteList.Records.0.2="/look"                                |
      | revision below parent | Revision="r2"                                                |
      | old parent            | ParentVersion="r2"                                           |
      | numeric revision      | Revision=5                                                   |
      | malformed parent      | ParentVersion="x"                                            |
      | incomplete record     | RouteList.Records.0=["look"]                                 |
      | missing target        | RouteList.Records.0.8=null                                   |
      | text as timeout       | RouteList.Records.0.4="2"                                    |
      | missing route list    | RouteList=null                                               |
      | list of services      | ServiceList=[]                                               |
    Then the answers are "invalid-configurations"
    And the register then holds r3

  Scenario: A repeated configuration gets its first answer, and one with an old parent is rejected
    Given the configuration register holds r3
    When the operator puts configurations with these changes
      | case            | change                                 |
      | first           |                                        |
      | the same again  |                                        |
      | lost the race   | Revision="r6"                          |
      | the next        | Revision="r9"; ParentVersion="r5"      |
      | the first again |                                        |
      | same number     | Limits={}                              |
    Then the answers are "versions"
    And the register then holds r9

  Scenario: Malformed worker calls, unsupported methods and unknown paths are rejected
    Given the configuration register holds r3
    When these calls are sent
      | method | path                          | body |
      | PUT    | /bramblewood/instances/i-1    | {"Address":"10.0.0.1:80","Summary":{"Target":"s","Zone":"z","Slots":2},"Condition":{"Phase":"ready","CallSeq":4,"ColdLeftS":0},"New":1} |
      | PUT    | /bramblewood/instances/i-1    | {"Address":"10.0.0.1:80","Summary":{"Target":"s"},"Condition":{"Phase":"asleep","CallSeq":4}} |
      | PUT    | /bramblewood/instances/i-1    | {"Address":"10.0.0.1","Summary":{"Target":"s"},"Condition":{"Phase":"ready","CallSeq":4}} |
      | PUT    | /bramblewood/instances/i-1    | {"Address":"10.0.0.1:80","Summary":{"Target":"s"},"Condition":{"Phase":"ready","CallSeq":"4"}} |
      | PUT    | /bramblewood/instances/i-1    | {"Address":"10.0.0.1:80","Summary":{"Target":"s","Slots":0},"Condition":{"Phase":"ready","CallSeq":4}} |
      | PUT    | /bramblewood/instances/i-1    | {"Address": |
      | PUT    | /bramblewood/instances/       | {} |
      | PUT    | /bramblewood/instances/a/b    | {} |
      | POST   | /bramblewood/instances/i-1    | {} |
      | DELETE | /bramblewood/instances/i-1    |  |
      | DELETE | /bramblewood/config           |  |
      | GET    | /bramblewood/config?x=1       |  |
      | GET    | /elsewhere                    |  |
    Then the answers are "calls"

  Scenario: Every rejection fits into the 4 KiB that a worker reads
    Then a call with 60000 bytes in one field, the path or the method is rejected in less than 4 KiB
