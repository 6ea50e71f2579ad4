Feature: Leaving in order, and coming back

  Scenario: After a drain is known a worker gets nothing new that another can do
    Given a service of w1 and w2, without keys
    When w1 is heard to be draining at 10
    Then of 200 requests at 10.001 none goes to w1
    When w1 is heard to be ready again at 10.1, by a call that was sent before
    Then of 200 requests at 10.2 none goes to w1

  Scenario: A key's holder that drains gets what nobody else holds, but for a part of DrainS only
    Given a service of w1 and w2, with keys all held by w1
    When w1 is heard to be draining at 10
    Then of 200 requests at 11 all go to w1
    And of 200 requests at 11.6 none goes to w1
    When the table moves all keys from w1 to w2
    Then of 200 requests at 11.7 none goes to w2
    When w1 has let go of them
    Then of 200 requests at 11.8 all go to w2

  Scenario: SIGTERM amid requests
    Given a desk with a request that its worker is working on
    When SIGTERM comes
    Then readiness says 503, a new connection is answered and closed, and the request ends whole

  Scenario: A machine that is stopped takes nothing new once the platform has missed it
    Given a desk with a request that its worker is working on
    When SIGTERM comes
    Then new connections are refused after two missed looks, and the request ends whole
