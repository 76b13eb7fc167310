/**
Where the leadership of a service is kept.
*/

/**
Key of a service's leadership; its creation revision is the fencing number.

@example
```
leadershipKey('advice-llm'); // 'cowsliprudder/leaders/advice-llm'
```
*/
export const leadershipKey = (service: string): string => `cowsliprudder/leaders/${service}`;
