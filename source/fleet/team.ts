/**
A team: a customer of the deployment, whose requests are identified by a key.
*/

/**
What the operator declares for a team. A key identifies at most one team.
*/
export type Team = {
	readonly name: string;
	/** Secrets; any one of them admits a request. They must appear in no log line, metric or error. */
	readonly keys: readonly string[];
	/** Priority of the team's requests, before that of their route; 0 is the most urgent. */
	readonly priority: number;
};
