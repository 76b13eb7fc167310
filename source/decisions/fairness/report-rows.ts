/**
Sets how often, and how much of it, a gateway reports the teams' usage to its peers.

Every gateway reports to every other one, so the rows of all reports grow with the square
of the number of gateways. A row has about 18 bytes, a refused request 5, and a report some
60 beside them. With the bounds below that is 4 to 6 KB/s for each gateway, whatever their
number: in large fleets reports come less often, and each gateway sees more of a team itself.
*/

/** Rows that one gateway sends each second to all its peers together. */
const maxSent = {teams: 160, refused: 200} as const;
const maxRows = {teams: 16, refused: 64} as const;
const secondMilliseconds = 1000;
/** Gateways for each second between two reports; more reports would mostly consist of field names. */
const gatewaysPerSecond = 37;
/** Usage decays in this time. */
const maxSeconds = 10;

type ReportRows = {readonly intervalMilliseconds: number; readonly teams: number; readonly refused: number};

/**
Returns the interval and the rows of reports in a fleet of this many gateways.

@example
```
reportRows(22); // {intervalMilliseconds: 1000, teams: 7, refused: 9}
```
*/
export const reportRows = (gateways: number): ReportRows => {
	const seconds = Math.min(maxSeconds, Math.max(1, Math.ceil(gateways / gatewaysPerSecond)));
	const rows = (kind: keyof typeof maxSent): number => Math.max(1, Math.min(maxRows[kind], Math.floor(maxSent[kind] * seconds / gateways)));
	return {intervalMilliseconds: seconds * secondMilliseconds, teams: rows('teams'), refused: rows('refused')};
};
