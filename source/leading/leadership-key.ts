/**
Store key under which the leader of a service is elected.
*/

/**
Returns the key that the leader of a service creates with its lease. The key's creation
revision is the leader's fencing number.

@example
```
leadershipKey('advice-llm'); // 'cowsliprudder/leaders/advice-llm'
```
*/
export const leadershipKey = (service: string): string => `cowsliprudder/leaders/${service}`;
