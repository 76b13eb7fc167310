/*
Runs one case: starts a fleet, plays it, writes what was seen, and ends all processes.

Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
*/
import process from 'node:process';
import {Fleet} from './fleet.js';

const limitMilliseconds = 110_000;

/* False with TROUBLE=0: the same without the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

export const runCase = async (folder, play) => {
	const fleet = new Fleet(folder);
	let isEnding = false;
	const end = async (code, text) => {
		if (isEnding) {
			return;
		}

		isEnding = true;
		fleet.note({event: 'end', code, text});
		console.log(text);
		await fleet.stop();
		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	};

	setTimeout(() => {
		end(2, 'could not run: not done in time');
	}, limitMilliseconds);
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.on(signal, () => {
			end(2, `could not run: ${signal}`);
		});
	}

	try {
		fleet.note({event: 'begin', hasTrouble});
		await fleet.start();
		/* `isPlayed` is false when the load or the disruption has not come about. */
		const {isBroken, isPlayed, text} = await play(fleet);
		const isWithout = hasTrouble && !isPlayed && !isBroken;
		await end(isWithout ? 2 : (isBroken ? 1 : 0), `${isWithout ? 'could not run, the disruption has not come about' : (isBroken ? 'BROKEN' : 'held')}: ${text}`);
	} catch (error) {
		await end(2, `could not run: ${error.stack}`);
	}
};
