/**
The form in which the crashes behind a quarantine are kept in the store.
*/
import type {PeerMessage} from '../generated/peer-messages.js';
import {validatePeerMessages} from '../generated/validators.js';

type Report = Extract<PeerMessage, {kind: 'crashes'}>;

type StoredReport = {readonly writtenAt: unknown; readonly report: unknown};

const format = (report: Report, now: number): string => JSON.stringify({writtenAt: now, report});

const isReport = (value: unknown): value is Report => validatePeerMessages(value) && (value as PeerMessage).kind === 'crashes';

const parseJson = (text: string): Partial<StoredReport> => {
	try {
		return JSON.parse(text) as Partial<StoredReport> | null ?? {}; // eslint-disable-line @typescript-eslint/no-restricted-types
	} catch {
		// The caller logs that the report is malformed.
		return {};
	}
};

const parse = (text: string, now: number): Report | undefined => {
	const {writtenAt, report} = parseJson(text);
	if (typeof writtenAt !== 'number' || !isReport(report)) {
		return undefined;
	}

	const age = Math.max(0, Math.round(now - writtenAt));
	return {
		...report,
		crashes: report.crashes.map(crash => ({...crash, age: crash.age + age})),
		cleared: {...report.cleared, ages: report.cleared.ages.map(clearedAge => clearedAge + age)},
	};
};

/**
Times are Unix milliseconds. A malformed text parses as undefined; ages grow by the time since the report was written.

@example
```
crashReport.parse(crashReport.format(report, 1_771_671_222_000), 1_771_671_225_000);
```
*/
export const crashReport = {format, parse} as const;
