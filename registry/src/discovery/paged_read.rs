//! One read of an endpoint list that comes in pages (design 4): which pages are fetched, and what the complete
//! list is. A pure state machine: pages are its input, requests for further pages its output.
//!
//! The links between pages form a chain, so a chain takes one round trip for each page. A short list is read as
//! one chain; a long one by zone, with the chains of all zones side by side, so that the time of a read does not
//! grow with the number of zones. Either all parts are complete, or there is no list.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use vanepath_config::endpoint_list::Server;
use vanepath_config::wire_format::{EndpointListPage, SelectedFormat};

/// A list of more pages is rejected, since its links may form a cycle.
pub const MAX_PAGES: usize = 1024;
/// A list of more pages is read by zone, if the platform serves it by zone.
const MAX_CHAIN_PAGES: usize = 6;

/// A part of the list, whose pages form a chain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListPart {
    /// The whole list.
    Whole,
    /// The servers of one zone.
    Zone(String),
    /// One page of the whole list, which shows whether there are servers in zones that are not known.
    Survey,
}

/// A request for a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PageRequest {
    /// The part that the page belongs to.
    pub part: ListPart,
    /// The path and query of the page.
    pub path: String,
    /// The path of the first page of the part.
    pub part_path: String,
}

/// The list has more than [`MAX_PAGES`] pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyPages;

impl fmt::Display for TooManyPages {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "more than {MAX_PAGES} pages")
    }
}

impl std::error::Error for TooManyPages {}

/// What is known of the list's form from earlier reads.
#[derive(Clone, Debug)]
pub struct ListLayout {
    format: SelectedFormat,
    path: String,
    /// The zones that servers may be in: those of the settings, and those that servers were seen in.
    zones: BTreeSet<String>,
    /// The number of servers on a full page; 0: no page that is followed by another one was seen.
    page_size: usize,
    is_read_by_zone: bool,
    /// The path of the next page of the survey; `None`: the first one.
    survey_path: Option<String>,
}

impl ListLayout {
    /// The list at `path`, whose servers are in these zones.
    pub fn new(
        format: SelectedFormat,
        path: &str,
        zones: impl IntoIterator<Item = String>,
    ) -> ListLayout {
        ListLayout {
            format,
            path: path.to_string(),
            zones: zones.into_iter().collect(),
            page_size: 0,
            is_read_by_zone: false,
            survey_path: None,
        }
    }

    fn whole_request(&self, path: String) -> PageRequest {
        PageRequest { part: ListPart::Whole, path, part_path: self.path.clone() }
    }

    fn survey_request(&self) -> PageRequest {
        let path = self.survey_path.clone().unwrap_or_else(|| self.path.clone());
        PageRequest { part: ListPart::Survey, path, part_path: self.path.clone() }
    }

    /// The requests for the first pages of all zones; `None`: the platform does not serve the list by zone.
    fn zone_requests(&self) -> Option<Vec<PageRequest>> {
        let requests = self.zones.iter().map(|zone| {
            let path = self.format.zone_path(&self.path, zone)?;
            let part = ListPart::Zone(zone.clone());
            Some(PageRequest { part, path: path.clone(), part_path: path })
        });
        requests.collect::<Option<Vec<_>>>().filter(|requests| !requests.is_empty())
    }

    /// Learns from a page of any part.
    fn observe(&mut self, page: &EndpointListPage) {
        if page.next.is_some() {
            self.page_size = self.page_size.max(page.servers.len());
        }
        for server in &page.servers {
            if !self.zones.contains(&server.zone) {
                self.zones.insert(server.zone.clone());
            }
        }
    }

    /// Chooses the form of the next read by the size of a complete list. The list has to be shorter by a page
    /// than the longest chain before it is read as one chain again.
    fn on_complete(&mut self, servers: usize) {
        let is_short = servers <= self.page_size * (MAX_CHAIN_PAGES - 1);
        self.is_read_by_zone &= !is_short;
    }
}

/// The list that a complete read returned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CompleteList {
    /// The revision, if the platform numbers its lists.
    pub revision: Option<u64>,
    /// All servers. A server that moved from one page to the next is listed twice, the newer entry second.
    pub servers: Vec<Server>,
}

/// A read of the list that is in progress.
#[derive(Debug, Default)]
pub struct PagedRead {
    /// The parts whose next page is awaited.
    open_parts: BTreeSet<ListPart>,
    servers: BTreeMap<ListPart, Vec<Server>>,
    revision: Option<u64>,
    pages: usize,
}

impl PagedRead {
    /// Begins a read; returns it with the requests for its first pages.
    pub fn begin(layout: &ListLayout) -> (PagedRead, Vec<PageRequest>) {
        let mut read = PagedRead::default();
        let by_zone = layout.zone_requests().filter(|_| layout.is_read_by_zone);
        let requests = match by_zone {
            Some(mut requests) => {
                requests.push(layout.survey_request());
                requests
            }
            None => vec![layout.whole_request(layout.path.clone())],
        };
        read.open(&requests);
        (read, requests)
    }

    fn open(&mut self, requests: &[PageRequest]) {
        self.open_parts.extend(requests.iter().map(|request| request.part.clone()));
    }

    /// Processes a page of a part; returns the requests that follow from it.
    ///
    /// # Errors
    /// [`TooManyPages`], after which the read has failed.
    pub fn on_page(
        &mut self,
        layout: &mut ListLayout,
        request: &PageRequest,
        page: EndpointListPage,
    ) -> Result<Vec<PageRequest>, TooManyPages> {
        self.open_parts.remove(&request.part);
        layout.observe(&page);
        if request.part == ListPart::Survey {
            layout.survey_path = page.next;
            return Ok(Vec::new());
        }
        self.pages += 1;
        if self.pages > MAX_PAGES {
            return Err(TooManyPages);
        }
        self.revision = page.revision.or(self.revision);
        self.servers.entry(request.part.clone()).or_default().extend(page.servers);
        let Some(path) = page.next else { return Ok(Vec::new()) };
        let is_long = request.part == ListPart::Whole && self.pages >= MAX_CHAIN_PAGES;
        let requests = match layout.zone_requests().filter(|_| is_long) {
            Some(requests) => {
                layout.is_read_by_zone = true;
                self.servers.clear();
                requests
            }
            None => vec![PageRequest { path, ..request.clone() }],
        };
        self.open(&requests);
        Ok(requests)
    }

    /// Handles a page that could not be fetched. Returns whether the read has failed by it.
    pub fn on_page_failed(&mut self, layout: &mut ListLayout, part: &ListPart) -> bool {
        if *part != ListPart::Survey {
            return true;
        }
        self.open_parts.remove(part);
        layout.survey_path = None;
        false
    }

    /// Whether all pages of all parts have arrived.
    pub fn is_complete(&self) -> bool {
        self.open_parts.is_empty()
    }

    /// The complete list.
    pub fn finish(self, layout: &mut ListLayout) -> CompleteList {
        let servers: Vec<Server> = self.servers.into_values().flatten().collect();
        layout.on_complete(servers.len());
        CompleteList { revision: self.revision, servers }
    }
}
