/**
Sets how much of the teams' usage a gateway reports to its peers each second.

Every gateway reports to every other one, so the rows of all reports grow with the square
of the number of gateways. A row has about 13 bytes, and a refused request 5.
*/

/** Rows that one gateway sends each second to all its peers together. */
const maxSent = {teams: 400, refused: 400} as const;
const maxRows = {teams: 16, refused: 64} as const;

/**
Returns the rows of one report in a fleet of this many gateways.

@example
```
reportRows(22); // {teams: 16, refused: 18}
```
*/
export const reportRows = (gateways: number): {readonly teams: number; readonly refused: number} => ({
	teams: Math.max(1, Math.min(maxRows.teams, Math.floor(maxSent.teams / gateways))),
	refused: Math.max(1, Math.min(maxRows.refused, Math.floor(maxSent.refused / gateways))),
});
