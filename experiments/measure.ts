/**
`npm run measure -- NAME`: measurements, each paired in one run.
*/
import process from 'node:process';
import {measureConfiguration} from './measure-configuration.js';
import {measureHop} from './measure-hop.js';
import {measureRouting} from './measure-routing.js';
import {measureShift} from './measure-shift.js';
import {measureSlopes} from './measure-slopes.js';
import {measureTeams} from './measure-teams.js';

const measurements: Readonly<Record<string, () => void | Promise<void>>> = {
	routing: measureRouting,
	shift: measureShift,
	slopes: measureSlopes,
	configuration: measureConfiguration,
	hop: measureHop,
	teams: measureTeams,
};

const name = process.argv[2] ?? '';
const measurement = measurements[name];
if (measurement === undefined) {
	console.error(`unknown measurement "${name}"; expected one of ${Object.keys(measurements).join(', ')}`);
	process.exit(64); // eslint-disable-line unicorn/no-process-exit
}

await measurement();
process.exit(0); // eslint-disable-line unicorn/no-process-exit
