/**
Names the team of a request in log lines.
*/
import type {RequestTeam} from '../fleet/request-team.js';

/**
Returns the team's name, an empty text for a request without a key of a team, and undefined without teams.

@example
```
teamInLogs({kind: 'team', name: 'lots', priority: 0}); // 'lots'
```
*/
export const teamInLogs = (team: RequestTeam): string | undefined => {
	switch (team.kind) {
		case 'none': {
			return undefined;
		}

		case 'anonymous': {
			return '';
		}

		case 'team': {
			return team.name;
		}
	}
};
