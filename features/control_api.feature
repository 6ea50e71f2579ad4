Feature: A call that is rejected gets one clear answer and changes nothing

  Scenario: Each invalid kind of configuration
    Given a register that holds r3
    When the operator puts
      | what             | change                                                       |
      | cut short        |                                                              |
      | unknown service  | RouteList.Records.0.8="nobody"                               |
      | odd kind         | RouteList.Records.0.3="sometimes"                            |
      | long time-out    | RouteList.Records.0.4=601                                    |
      | no time          | RouteList.Records.0.4=0                                      |
      | same place       | RouteList.Records.1.2="/look/"                               |
      | no attempts      | RouteList.Records.0.7=0                                      |
      | bare prefix      | RouteList.Records.0.2="look/"                                |
      | open prefix      | RouteList.Records.0.2="/look"                                |
      | old version      | Revision="r2"                                                |
      | stale parent     | ParentVersion="r2"                                           |
      | no version       | Revision=5                                                   |
      | odd parent       | ParentVersion="x"                                            |
      | short record     | RouteList.Records.0=["look"]                                 |
      | no target        | RouteList.Records.0.8=null                                   |
      | text for number  | RouteList.Records.0.4="2"                                    |
      | no routes        | RouteList=null                                               |
      | list             | ServiceList=[]                                               |
    Then the answers are "invalid-configurations"
    And the register holds r3

  Scenario: A configuration is taken once, its repeat is known, what does not follow is rejected
    Given a register that holds r3
    When the operator puts
      | what            | change                                 |
      | first           |                                        |
      | the same again  |                                        |
      | lost the race   | Revision="r6"                          |
      | the next        | Revision="r9"; ParentVersion="r5"      |
      | the first again |                                        |
      | same number     | Limits={}                              |
    Then the answers are "versions"
    And the register holds r9

  Scenario: Malformed calls of workers, wrong methods and paths
    Given a register that holds r3
    When callers send
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

  Scenario: What a worker is answered fits into the 4 KiB that it reads
    Then a call with 60000 bytes in any one field, in its path or method is rejected within 4 KiB
