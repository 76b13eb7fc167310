/**
The deployments on which the ways of learning capacity are compared.
*/

/**
Loads are about two thirds of what the targets take when each gets what it takes well.

@example
```
const {targets, callsPerSecond} = capacityCases['three speeds'];
```
*/
export const capacityCases = {
	'all alike': {targets: [1, 1, 1, 1].map(speed => ({speed, slots: 8, knee: 8})), callsPerSecond: 480, slowShare: 0},
	'three speeds': {targets: [0.6, 1, 1, 1.6].map(speed => ({speed, slots: 8, knee: 8})), callsPerSecond: 480, slowShare: 0},
	'slow beyond a number': {targets: [4, 4, 16, 16].map(knee => ({speed: 1, slots: 16, knee})), callsPerSecond: 600, slowShare: 0},
	'both, and slow phases': {
		targets: [{speed: 0.6, slots: 16, knee: 6}, {speed: 1, slots: 16, knee: 6}, {speed: 1, slots: 16, knee: 12}, {speed: 1.6, slots: 16, knee: 6}], callsPerSecond: 380, slowShare: 0.15,
	},
} as const;
