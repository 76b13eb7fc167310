#!/usr/bin/env node
/**
Entry point of the entry gateway, the gateway process that runs on the platform.
*/
import './survive-early-hang-up.js'; // eslint-disable-line import-x/no-unassigned-import
import {runEntry} from '../../platform/run-entry.js'; // eslint-disable-line import-x/order

await runEntry();
